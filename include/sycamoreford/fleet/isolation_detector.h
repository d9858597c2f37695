#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Tells whether this daemon has lost its links to all endpoints.
///
/// Only new connections count: open ones may go on while new ones are refused,
/// and an endpoint that is silent for a while still accepts connections. Since
/// several endpoints may fail at once, a daemon that is considered isolated
/// must try further connections; the first that is established proves that it
/// is not.
///
/// Thread safety: none.
class IsolationDetector {
 public:
  /// Called when a connection to an endpoint was established.
  ///
  /// \param begun_at when the attempt to connect began.
  void OnConnected(TimePoint begun_at);

  /// Called when a connection to an endpoint was not established.
  ///
  /// \param known_endpoints number of endpoints that can be connected to.
  void OnUnreachable(const std::string& endpoint,
                     std::size_t known_endpoints,
                     TimePoint now);

  [[nodiscard]] bool is_isolated() const noexcept { return is_isolated_; }

 private:
  /// Distinct endpoints that cannot be reached without one that can, after
  /// which the daemon is considered isolated: more than are likely to fail
  /// together, one in 20, within these limits.
  static constexpr std::size_t kMinEndpoints = 2;
  static constexpr std::size_t kMaxEndpoints = 5;
  static constexpr std::size_t kKnownPerEndpoint = 20;
  /// Failures in a row after which it is if there is only one endpoint.
  static constexpr std::size_t kMinFailures = 3;

  /// Time of the last failure of each endpoint since the last connection.
  std::map<std::string, TimePoint> unreachable_;
  std::size_t failures_ = 0;
  bool is_isolated_ = false;
};

}  // namespace sycamoreford
