#pragma once

namespace sycamoreford {

/// Next step that the daemon has to take for a planned stop.
enum class DrainAction {
  kNone,
  /// Fail the readiness check and announce the end of keep-alive connections.
  kFailReadiness,
  /// Close the listener and idle connections.
  kCloseListener,
  /// Hand over; all requests have finished.
  kHandOver,
  /// The deadline has passed: cut off the remaining requests, then hand over.
  kCutOffAndHandOver,
  /// Exit the process.
  kExit,
};

}  // namespace sycamoreford
