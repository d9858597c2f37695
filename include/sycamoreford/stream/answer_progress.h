#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/stream/engine_event.h"

namespace sycamoreford {

/// What to do with an event of an engine.
enum class ProgressAction {
  /// Deliver the token; it is the next of the answer.
  kDeliver,
  /// Ignore the event; it belongs to an earlier attempt.
  kDrop,
  /// The answer is whole.
  kFinish,
  /// The engine broke its protocol; end the attempt.
  kAbort,
};

/// Decides which events of engines become part of the answer.
///
/// Each attempt has a number; only events of the request's present attempt, at
/// exactly the next position and within the bound, are delivered. An answer is
/// whole only when an end marker carries the number of tokens delivered. No
/// I/O.
///
/// Thread safety: none.
class AnswerProgress {
 public:
  /// \param max_tokens most tokens of the answer; one more breaks the protocol.
  AnswerProgress(RequestId request_id, std::uint32_t max_tokens);

  /// Starts the next attempt; events of earlier ones are dropped from now on.
  /// Precondition: the answer is not whole.
  Attempt BeginAttempt();

  /// Takes an event in.
  ///
  /// \returns what to do with it; after `kDeliver` the token is counted as
  ///     delivered.
  ProgressAction OnEvent(const EngineEvent& event);

  [[nodiscard]] const RequestId& request_id() const noexcept {
    return request_id_;
  }
  [[nodiscard]] Attempt attempt() const noexcept { return attempt_; }
  [[nodiscard]] bool is_complete() const noexcept { return is_complete_; }
  /// The tokens delivered so far, in order.
  [[nodiscard]] const std::vector<std::string>& delivered() const noexcept {
    return delivered_;
  }
  /// The reason in the end marker; empty before it.
  [[nodiscard]] const std::string& finish_reason() const noexcept {
    return finish_reason_;
  }

 private:
  ProgressAction OnToken(const TokenEvent& token);
  ProgressAction OnEnd(const EndEvent& end);
  [[nodiscard]] bool IsFromEarlierAttempt(Attempt attempt) const noexcept;

  RequestId request_id_;
  std::uint32_t max_tokens_;
  Attempt attempt_{0};
  std::vector<std::string> delivered_;
  std::string finish_reason_;
  bool is_complete_ = false;
};

}  // namespace sycamoreford
