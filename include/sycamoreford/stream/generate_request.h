#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// Request to the first stage of a chain to generate an answer.
struct GenerateRequest {
  RequestId request_id;
  Attempt attempt{1};
  std::string model;
  std::string version;
  /// Name of the adapter applied to the answer; empty if there is none.
  std::string adapter;
  std::uint32_t layers = 0;
  Chain chain;
  /// The caller's messages, as JSON text.
  std::string messages;
  /// Tokens already delivered to the caller; generation resumes after them.
  std::vector<std::string> delivered;
  /// Maximum number of tokens of the complete answer, including `delivered`.
  std::uint32_t max_tokens = 0;
  /// Lower values are served first.
  std::uint32_t priority = 0;
};

}  // namespace sycamoreford
