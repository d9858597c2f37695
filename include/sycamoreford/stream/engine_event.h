#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// A token of an answer.
struct TokenEvent {
  RequestId request_id;
  Attempt attempt;
  TokenPosition position;
  std::string text;
};

/// The end marker of an answer.
struct EndEvent {
  RequestId request_id;
  Attempt attempt;
  /// Number of tokens in the complete answer, over all attempts.
  std::uint32_t token_count = 0;
  /// `stop` or `length`.
  std::string finish_reason;
};

/// An event that an engine sends while it generates an answer.
using EngineEvent = std::variant<TokenEvent, EndEvent>;

}  // namespace sycamoreford
