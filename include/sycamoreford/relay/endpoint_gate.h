#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/relay/endpoint_backoffs.h"
#include "sycamoreford/relay/endpoint_limits.h"

namespace sycamoreford {

/// What is to be sent to an endpoint.
enum class SendKind : std::uint8_t {
  /// A request for which an endpoint is to be chosen, also one that is sent
  /// again.
  kRequest,
  /// A request that has been counted for the endpoint and has waited for a
  /// connection since.
  kChosenRequest,
  /// A request for a report, which may exceed a limit a little.
  kInspection,
  /// An order, which limits do not hold back, or the report that it needs.
  kOrder,
};

/// When an endpoint of several can be sent a request again.
struct GateOpening {
  /// Time until the first of them that is closed opens.
  Duration time_left{0};
  /// Whether it asked for a pause, rather than for a limited rate.
  bool is_backoff = false;
  /// Whether all of them are closed.
  bool are_all_closed = false;
};

/// Decides whether anything may be sent to an endpoint at present, by what the
/// endpoint itself asked for: a pause, or a limited rate. A request that was
/// chosen for an endpoint is also held back if that has said since that it
/// leaves.
///
/// Everything that is sent to an endpoint asks here, right before it is sent.
/// Only connections that carry nothing do not.
///
/// Thread safety: none.
class EndpointGate {
 public:
  /// Precondition: `directory` outlives this object.
  explicit EndpointGate(const EndpointDirectory& directory)
      : directory_(directory) {}

  [[nodiscard]] EndpointLimits& limits() noexcept { return limits_; }
  [[nodiscard]] const EndpointLimits& limits() const noexcept {
    return limits_;
  }
  [[nodiscard]] EndpointBackoffs& backoffs() noexcept { return backoffs_; }

  /// Whether the listed run of an endpoint may be sent something.
  [[nodiscard]] bool MaySend(const std::string& id,
                             SendKind kind,
                             TimePoint now);

  /// The endpoints that may not be sent a request.
  [[nodiscard]] std::set<std::string> Closed(TimePoint now);

  /// Time until the listed run of an endpoint may be sent a request; 0 if it
  /// may be now.
  [[nodiscard]] Duration TimeUntilOpen(const std::string& id, TimePoint now);

  /// When the first closed one of these endpoints opens.
  [[nodiscard]] GateOpening NextOpening(const std::vector<std::string>& ids,
                                        TimePoint now);

  /// The endpoints with a limit or a pause in force, which chains should avoid
  /// as their first stage.
  [[nodiscard]] std::set<std::string> Restricted(TimePoint now) const;
  /// Incremented by each change of `Restricted`, except that a pause that has
  /// ended counts until `EndpointBackoffs::Expire`.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return limits_.version() + backoffs_.version();
  }

 private:
  [[nodiscard]] Duration BackoffLeft(const std::string& id,
                                     TimePoint now) const;
  [[nodiscard]] bool IsLeaving(const std::string& id) const;

  const EndpointDirectory& directory_;
  EndpointLimits limits_;
  EndpointBackoffs backoffs_;
};

}  // namespace sycamoreford
