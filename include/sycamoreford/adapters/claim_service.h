#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/adapters/http_table_client.h"
#include "sycamoreford/claim/claim_batcher.h"
#include "sycamoreford/claim/claim_store.h"

namespace sycamoreford {

/// Runs the claimed calls of one daemon. Calls are detached from the callers
/// that wait for them: if a caller disconnects, the call and the storing of its
/// result continue.
///
/// Thread safe. Must outlive all calls that it started; see `active`.
class ClaimService {
 public:
  /// Executes a claimed call. Invoked at most once, possibly after the caller
  /// has disconnected. Must complete without external cancellation.
  using Work = std::function<boost::asio::awaitable<Result<HttpResponse>>()>;

  /// Precondition: `table` outlives this object.
  explicit ClaimService(HttpTableClient& table);

  /// Takes the claim, runs the work unless an earlier call has used the
  /// same key, and stores the response for repeated calls.
  ///
  /// \returns the work's result, or the stored response of an earlier call
  ///     with the field `idempotent-replayed`. Errors besides the work's own:
  ///     `kTableUnavailable` and `kIdempotencyKeyReused` with the outcome
  ///     "not run", `kInProgress` and `kOutcomeUnknown` with "unknown".
  [[nodiscard]] boost::asio::awaitable<Result<HttpResponse>>
  RunOnce(const ClaimKey& key, Claim claim, Work work);

  /// Deletes claims whose retention period has expired, one page at a time.
  /// Never returns.
  [[nodiscard]] boost::asio::awaitable<void> SweepForever();

  /// Waits up to `time` until `active()` is 0.
  [[nodiscard]] boost::asio::awaitable<void> WaitUntilDone(
      std::chrono::milliseconds time);

  /// Number of tasks that run claimed work or store the final state of a claim;
  /// a claim may have one of each at the same time.
  [[nodiscard]] std::size_t active() const noexcept { return active_; }

 private:
  struct ClaimedCall;

  boost::asio::awaitable<void> RunClaim(std::shared_ptr<ClaimedCall> call);
  boost::asio::awaitable<void> StoreFinalState(
      std::shared_ptr<ClaimedCall> call);
  boost::asio::awaitable<void> RunWork(ClaimedCall& call);
  boost::asio::awaitable<void> SweepPage(std::string& after);

  HttpTableClient& table_;
  ClaimBatcher<HttpTableClient> batcher_;
  ClaimStore<ClaimBatcher<HttpTableClient>> store_;
  SteadyClock clock_;
  std::atomic<std::size_t> active_{0};
  std::atomic<std::size_t> unstored_bytes_{0};
};

}  // namespace sycamoreford
