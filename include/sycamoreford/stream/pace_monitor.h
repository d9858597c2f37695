#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Timeouts of a stream whose pace is not known yet.
struct InitialTimeouts {
  /// Until the first token, for a short prompt.
  Duration first_token = std::chrono::seconds(5);
  /// Between two tokens.
  Duration between_tokens = std::chrono::seconds(1);
};

/// Measures the time between tokens of one stream and derives timeouts from it;
/// detects streams that have become slow.
///
/// The history is bounded and kept across attempts, so that a resumed stream
/// has adapted timeouts from the start. Each consecutive stall doubles the
/// timeouts, so that a stream over a pool that has become slower as a whole
/// does not time out again and again. Performs no I/O. Not thread safe.
class PaceMonitor {
 public:
  explicit PaceMonitor(InitialTimeouts initial_timeouts) noexcept;

  /// Records the first token of an attempt.
  ///
  /// \param time time from the start of the attempt to the token.
  /// \param bytes size of the prompt and of the tokens sent along with it.
  void OnFirstToken(Duration time, std::size_t bytes);

  /// Records a later token.
  ///
  /// \param gap time since the previous token.
  void OnToken(Duration gap);

  /// Records that an attempt was abandoned because it stalled.
  void OnStall() noexcept;

  /// Records that the caller has reacted to `IsSlow`, which then stays false
  /// for a number of tokens. The number doubles each time that the stream is
  /// moved.
  ///
  /// \param will_move whether the stream is moved to another chain.
  void OnSlownessChecked(bool will_move) noexcept;

  /// Maximum time to wait for the next token after the first.
  [[nodiscard]] Duration NextTokenTimeout() const;

  /// Maximum time to wait for the first token of an attempt.
  ///
  /// \param bytes as for `OnFirstToken`.
  [[nodiscard]] Duration FirstTokenTimeout(std::size_t bytes) const noexcept;

  /// Whether each of the last few gaps was several times the median gap.
  [[nodiscard]] bool IsSlow() const;

 private:
  [[nodiscard]] Duration GapPercentile(std::size_t percent) const;

  InitialTimeouts initial_timeouts_;
  /// Latest gaps, oldest first.
  std::deque<Duration> gaps_;
  std::optional<Duration> first_token_time_;
  std::size_t first_token_bytes_ = 0;
  std::uint32_t timeout_multiplier_ = 1;
  std::uint32_t tokens_in_attempt_ = 0;
  std::uint32_t tokens_since_check_ = 0;
  std::uint32_t moves_ = 0;
};

}  // namespace sycamoreford
