#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Names one piece of work that must run at most once.
struct ClaimKey {
  CustomerId customer;
  /// The caller's idempotency key.
  std::string key;
};

/// Where a claim stands.
enum class ClaimState {
  /// Taken by a daemon that may be running the work.
  kTaken,
  /// The work has ended and its answer is kept.
  kAnswered,
};

/// The answer that is kept for repeats.
struct ClaimAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// A claim as kept in the table.
struct Claim {
  ClaimState state = ClaimState::kTaken;
  /// Name of the write that took it; tells whose it is.
  std::string write_id;
  /// Digest of method, path and body of the call.
  std::string digest;
  /// When its owner has given up at the latest.
  std::chrono::system_clock::time_point deadline{};
  ClaimAnswer answer{};
};

/// Row of a claim; keys of different customers never meet.
[[nodiscard]] std::string ClaimRowKey(const ClaimKey& key);

/// The text form of a claim in the table.
[[nodiscard]] std::string SerializeClaim(const Claim& claim);

/// Parses the text form; `kMalformed` when it is none.
[[nodiscard]] Result<Claim> ParseClaim(const std::string& text);

}  // namespace sycamoreford
