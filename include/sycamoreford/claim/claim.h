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
  /// The work began and whether it ran is not known; it never runs again.
  kUnknown,
  /// It was proved that nothing ran; the claim may be taken again.
  kReleased,
};

/// The answer that is kept for repeats.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredResponse&) const = default;
};

/// A claim as kept in the table.
struct Claim {
  ClaimState state = ClaimState::kTaken;
  /// Name of the call that wrote it; unique over all daemons.
  std::string write_id;
  /// Digest of the call; see `ClaimDigest`.
  std::string digest;
  /// When its owner has given up at the latest, by the owner's wall clock.
  std::chrono::system_clock::time_point deadline{};
  StoredResponse response{};
};

/// How long an answered or released claim is kept after its deadline. Claims
/// whose end is not known are kept for ever.
inline constexpr std::chrono::hours kClaimRetention{24};

/// Most that the wall clocks of two daemons may differ.
inline constexpr std::chrono::seconds kMaxClockSkew{5};

/// Prefix of the rows of all claims.
inline constexpr const char* kClaimPrefix = "claim/";

/// Row of a claim; keys of different customers never meet.
[[nodiscard]] std::string ClaimRowKey(const ClaimKey& key);

/// Tells calls apart that were given the same key.
///
/// \param service name of the service that the call goes to.
[[nodiscard]] std::string ClaimDigest(const std::string& service,
                                      const std::string& method,
                                      const std::string& target,
                                      const std::string& body);

/// The text form of a claim in the table.
[[nodiscard]] std::string SerializeClaim(const Claim& claim);

/// Parses the text form; `kMalformed` when it is none.
[[nodiscard]] Result<Claim> ParseClaim(const std::string& text);

}  // namespace sycamoreford
