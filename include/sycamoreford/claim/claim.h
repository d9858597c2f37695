#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Idempotency key of a customer. Of the requests with the same key at most one
/// runs.
struct ClaimKey {
  CustomerId customer;
  /// The caller's idempotency key.
  std::string key;
};

/// State of a claim, which records that a daemon handles a request.
enum class ClaimState {
  /// A daemon took the claim and may be running the request.
  kTaken,
  /// The request has completed and its response is stored.
  kAnswered,
  /// The request was started and its outcome is unknown; it never runs again.
  kUnknown,
  /// The request provably did not run; the claim may be taken again.
  kReleased,
};

/// An HTTP response that is replayed when the request is repeated.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredResponse&) const = default;
};

/// A claim as stored in the table.
struct Claim {
  ClaimState state = ClaimState::kTaken;
  /// Id of the request that wrote the row; unique over all daemons. A repeated
  /// request has a new id.
  std::string write_id;
  /// Digest of the request; see `ClaimDigest`.
  std::string digest;
  /// Latest time at which the owner may still be running the request, by the
  /// owner's wall clock.
  std::chrono::system_clock::time_point deadline{};
  StoredResponse response{};
};

/// How long an answered or released claim is retained after its deadline.
/// Claims whose outcome is unknown are retained forever.
inline constexpr std::chrono::hours kClaimRetention{24};

/// Maximum difference between the wall clocks of two daemons.
inline constexpr std::chrono::seconds kMaxClockSkew{5};

/// Key prefix of all claim rows.
inline constexpr const char* kClaimPrefix = "claim/";

/// Row key of a claim. Equal keys of different customers get different rows.
[[nodiscard]] std::string ClaimRowKey(const ClaimKey& key);

/// Digest of a request, to detect different requests with the same key.
///
/// \param service name of the service that the request is sent to.
[[nodiscard]] std::string ClaimDigest(const std::string& service,
                                      const std::string& method,
                                      const std::string& target,
                                      const std::string& body);

/// Serializes a claim to JSON, as stored in the table.
[[nodiscard]] std::string SerializeClaim(const Claim& claim);

/// Parses the JSON text; returns `kMalformed` when it is not a valid claim.
[[nodiscard]] Result<Claim> ParseClaim(const std::string& text);

}  // namespace sycamoreford
