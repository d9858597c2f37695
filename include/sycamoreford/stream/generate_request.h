#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// What the first stage of a chain is asked to do.
struct GenerateRequest {
  RequestId request_id;
  Attempt attempt{1};
  std::string model;
  std::string version;
  std::string adapter;
  std::uint32_t layers = 0;
  Chain chain;
  /// The caller's messages, as JSON text.
  std::string messages;
  /// Tokens that the caller has already; generation goes on after them.
  std::vector<std::string> delivered;
  /// Most tokens of the whole answer, delivered ones included.
  std::uint32_t max_tokens = 0;
  /// Lower is served first.
  std::uint32_t priority = 0;
};

}  // namespace sycamoreford
