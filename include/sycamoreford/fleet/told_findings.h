#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_finding.h"

namespace sycamoreford {

/// What other daemons have told of endpoints that they inspected.
///
/// One daemon alone may be wrong, or may have lost its own links. An endpoint
/// counts as lost when two daemons have found it so; after the word of one,
/// this daemon inspects it itself unless a second word follows soon. That an
/// endpoint responds is believed at once: the next request shows if not.
///
/// Thread safety: none.
class ToldFindings {
 public:
  /// What follows from a finding.
  enum class Result {
    /// Nothing new.
    kNone,
    /// One daemon has found the endpoint lost; see `TakeUnconfirmed`.
    kLostUnconfirmed,
    /// Several daemons have found it lost.
    kLost,
    kAlive,
  };

  /// How long the word of a daemon counts; the daemons that inspect an endpoint
  /// do so at nearly the same time.
  static constexpr std::chrono::milliseconds kTtl{1'500};
  /// Time for a second word to follow the first.
  static constexpr std::chrono::milliseconds kConfirmationTime{150};
  /// Endpoints of which words are kept.
  static constexpr std::size_t kMaxEndpoints = 1'024;

  /// \param from address of the daemon that told.
  Result OnTold(const EndpointFinding& finding,
                const std::string& from,
                TimePoint now);

  /// Whether a daemon has found the endpoint lost lately.
  [[nodiscard]] bool IsToldLost(const std::string& endpoint,
                                TimePoint now) const;

  /// Drops what was told of an endpoint, since it responds to this daemon.
  void Forget(const std::string& endpoint) { words_.erase(endpoint); }

  /// An endpoint that one daemon has found lost longer than `kConfirmationTime`
  /// ago, and no other one has since. Each is returned once.
  [[nodiscard]] std::optional<std::string> TakeUnconfirmed(TimePoint now);

 private:
  /// Daemons whose words are kept for each endpoint.
  static constexpr std::size_t kMaxDaemons = 8;

  struct Words {
    std::uint64_t started_at_ms = 0;
    /// When each daemon told, by address.
    std::map<std::string, TimePoint> lost_at;
    /// When the endpoint is to be inspected unless it is confirmed.
    std::optional<TimePoint> confirm_by;
  };

  void Expire(TimePoint now);

  std::map<std::string, Words, std::less<>> words_;
};

}  // namespace sycamoreford
