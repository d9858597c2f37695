#include "sycamoreford/stream/answer_progress.h"

#include <utility>

namespace sycamoreford {

AnswerProgress::AnswerProgress(RequestId request_id, std::uint32_t max_tokens)
    : request_id_(std::move(request_id)), max_tokens_(max_tokens) {}

Attempt AnswerProgress::BeginAttempt() {
  attempt_ = Attempt(attempt_.value() + 1);
  return attempt_;
}

bool AnswerProgress::IsFromEarlierAttempt(Attempt attempt) const noexcept {
  return attempt < attempt_;
}

ProgressAction AnswerProgress::OnEvent(const EngineEvent& event) {
  if (is_complete_) {
    return ProgressAction::kDrop;
  }
  if (const auto* token = std::get_if<TokenEvent>(&event)) {
    return OnToken(*token);
  }
  return OnEnd(std::get<EndEvent>(event));
}

ProgressAction AnswerProgress::OnToken(const TokenEvent& token) {
  if (token.request_id != request_id_) {
    return ProgressAction::kAbort;
  }
  if (IsFromEarlierAttempt(token.attempt)) {
    return ProgressAction::kDrop;
  }
  if (token.attempt != attempt_ ||
      token.position.value() != delivered_.size() ||
      delivered_.size() >= max_tokens_) {
    return ProgressAction::kAbort;
  }
  delivered_.push_back(token.text);
  return ProgressAction::kDeliver;
}

ProgressAction AnswerProgress::OnEnd(const EndEvent& end) {
  if (end.request_id != request_id_) {
    return ProgressAction::kAbort;
  }
  if (IsFromEarlierAttempt(end.attempt)) {
    return ProgressAction::kDrop;
  }
  if (end.attempt != attempt_ || end.token_count != delivered_.size()) {
    return ProgressAction::kAbort;
  }
  finish_reason_ = end.finish_reason;
  is_complete_ = true;
  return ProgressAction::kFinish;
}

}  // namespace sycamoreford
