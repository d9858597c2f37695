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

/// Runs claimed work of one daemon, detached from the callers that wait for
/// it: a caller that goes away leaves the work and its record going on.
///
/// Thread safe. It must outlive the work that it has begun; see `active`.
class ClaimService {
 public:
  /// The work of a claimed call. It is called at most once, may be called
  /// after the caller has gone, and must end by itself.
  using Work = std::function<boost::asio::awaitable<Result<HttpResponse>>()>;

  /// Precondition: `table` outlives this object.
  explicit ClaimService(HttpTableClient& table);

  /// Takes the claim, runs the work if no call with this key ever did, and
  /// keeps its answer for repeats.
  ///
  /// \returns the work's result, or the answer of an earlier call with the
  ///     field `idempotent-replayed`. Errors beside the work's own:
  ///     `kTableUnavailable` and `kIdempotencyKeyReused` (not run),
  ///     `kInProgress` and `kOutcomeUnknown` (unknown).
  [[nodiscard]] boost::asio::awaitable<Result<HttpResponse>>
  RunOnce(const ClaimKey& key, Claim claim, Work work);

  /// Removes claims whose retention has passed, page by page, for ever.
  [[nodiscard]] boost::asio::awaitable<void> SweepForever();

  /// Waits until no claim is active, at most for `time`.
  [[nodiscard]] boost::asio::awaitable<void> WaitUntilDone(
      std::chrono::milliseconds time);

  /// Number of claims whose work or record is not finished.
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
