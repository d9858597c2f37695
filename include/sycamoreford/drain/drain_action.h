#pragma once

namespace sycamoreford {

/// What the daemon is to do next for a planned stop.
enum class DrainAction {
  kNone,
  /// Fail readiness and announce the end of kept-alive connections.
  kFailReadiness,
  /// Close the listener and the idle connections.
  kCloseListener,
  /// Run the hand-over; every request was finished.
  kHandOver,
  /// The bound is reached: cut off what is left, then run the hand-over.
  kCutOffAndHandOver,
  /// Exit.
  kExit,
};

}  // namespace sycamoreford
