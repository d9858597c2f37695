#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_finding.h"

namespace sycamoreford {

/// What this daemon has found of the endpoints that it inspects for others, and
/// which of it is news to all of them.
///
/// Thread safety: none.
class FindingNews {
 public:
  /// How long a finding answers further questions.
  static constexpr std::chrono::milliseconds kTtl{250};
  /// Minimum time between two words to all that an endpoint is lost. Shorter
  /// than any suspicion, so that each is renewed in time.
  static constexpr std::chrono::milliseconds kTellInterval{500};

  /// Takes a finding.
  ///
  /// \param is_disputed whether another daemon has found the contrary.
  /// \returns whether all daemons should be told; otherwise those that have
  ///     asked.
  [[nodiscard]] bool OnFound(const EndpointFinding& finding,
                             bool is_disputed,
                             TimePoint now);

  /// The last finding of an endpoint, if it is recent.
  [[nodiscard]] std::optional<EndpointFinding> Recent(
      const std::string& endpoint,
      TimePoint now) const;

 private:
  static constexpr std::size_t kMaxEndpoints = 1'024;
  /// How long a finding is kept to tell changes.
  static constexpr std::chrono::seconds kMemory{60};

  struct Last {
    EndpointFinding finding;
    TimePoint at{};
    /// When all were last told that it is lost, unless it is back.
    std::optional<TimePoint> told_lost_at;
  };

  std::map<std::string, Last> last_;
};

}  // namespace sycamoreford
