#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// How long a stream may be silent before its own pace is known.
struct InitialTimeouts {
  /// Until the first token of a short prompt.
  Duration first_token = std::chrono::seconds(5);
  /// Between two tokens.
  Duration between_tokens = std::chrono::seconds(1);
};

/// Learns the pace of one stream and tells silence and slowness by it.
///
/// The history is bounded and outlives attempts, so that a resumed stream is
/// judged at once. Each stall in a row doubles what is allowed next: a whole
/// pool that became slower is waited for and not declared frozen again and
/// again. No I/O. Thread safety: none.
class PaceMonitor {
 public:
  explicit PaceMonitor(InitialTimeouts initial_timeouts) noexcept;

  /// Takes in the first token of an attempt.
  ///
  /// \param bytes size of the prompt and of the tokens sent along with it.
  void OnFirstToken(Duration time, std::size_t bytes);

  /// Takes in a later token: the time since the token before it.
  void OnToken(Duration gap);

  /// Takes in that an attempt was given up for its silence.
  void OnStall() noexcept;

  /// Takes in that the slowness was looked into; it is told again only after
  /// further tokens, and after ever more of them when the stream was moved.
  void OnSlownessChecked(bool will_move) noexcept;

  /// Longest silence between two tokens.
  [[nodiscard]] Duration NextTokenTimeout() const;

  /// Longest silence before the first token of an attempt; see `OnFirstToken`.
  [[nodiscard]] Duration FirstTokenTimeout(std::size_t bytes) const noexcept;

  /// Whether the last tokens all took several times the stream's usual pace.
  [[nodiscard]] bool IsSlow() const;

 private:
  [[nodiscard]] Duration Quantile(std::size_t percent) const;

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
