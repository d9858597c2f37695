#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/stream/engine_event.h"

namespace sycamoreford {

/// What to do with an event from an engine.
enum class ProgressAction {
  /// Deliver the token; it is the next one of the answer.
  kDeliver,
  /// Ignore the event; it belongs to an earlier attempt, or the answer is
  /// already complete.
  kDrop,
  /// The answer is complete.
  kFinish,
  /// The engine violated the protocol; end the attempt.
  kAbort,
};

/// Decides which events from engines become part of the answer.
///
/// Attempts are numbered. A token is delivered only if it belongs to the
/// request's current attempt, has exactly the next position, and does not
/// exceed `max_tokens`. The answer is complete only when an end marker states
/// the number of tokens delivered. Performs no I/O.
///
/// Not thread safe.
class AnswerProgress {
 public:
  /// \param max_tokens maximum number of tokens of the answer; a further token
  ///     violates the protocol.
  AnswerProgress(RequestId request_id, std::uint32_t max_tokens);

  /// Starts the next attempt; events of earlier attempts are dropped from now
  /// on. Precondition: the answer is not complete.
  Attempt BeginAttempt();

  /// Processes an event.
  ///
  /// \returns what to do with it; on `kDeliver` the token has been added to
  ///     `delivered()`.
  ProgressAction OnEvent(const EngineEvent& event);

  [[nodiscard]] const RequestId& request_id() const noexcept {
    return request_id_;
  }
  [[nodiscard]] Attempt attempt() const noexcept { return attempt_; }
  [[nodiscard]] bool is_complete() const noexcept { return is_complete_; }
  /// Tokens delivered so far, in order.
  [[nodiscard]] const std::vector<std::string>& delivered() const noexcept {
    return delivered_;
  }
  /// Finish reason in the end marker; empty until the answer is complete.
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
