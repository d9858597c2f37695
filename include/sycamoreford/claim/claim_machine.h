#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/claim/claim.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Result of writing a claim row.
enum class ClaimWriteResult {
  kCommitted,
  /// The condition failed; nothing was written.
  kConflict,
  /// The write was certainly not applied.
  kUnavailable,
  /// The write may have been applied, or may still be applied later.
  kAnswerLost,
};

/// Next action that the owner of a claim has to carry out.
enum class ClaimStep {
  /// Read the claim's row and pass it to `OnRow`.
  kRead,
  /// Commit `ClaimMachine::transaction` and pass the result to `OnWritten`.
  kWrite,
  /// Run the request. No other step permits that; it occurs at most once.
  kDispatch,
  /// Wait for `ClaimMachine::backoff`, then call `OnWaited`.
  kWait,
  /// Nothing is left to do.
  kEnd,
};

/// Reply to a request that is not run.
struct ClaimReply {
  /// Response to the earlier request with the same key.
  std::optional<StoredResponse> replay{};
  /// Set when there is no response to replay.
  std::optional<Failure> refusal{};
};

/// State machine of the claim of one request, from taking the claim to storing
/// its final state.
///
/// It never overwrites a row that another request wrote, except a released
/// claim. After a write whose answer was lost it reads the row to find out
/// whether the write was applied; if not, it writes under the same condition,
/// so that the lost write can no longer be applied.
///
/// Thread safety: none.
class ClaimMachine {
 public:
  enum class State {
    /// Writing the row to take the claim.
    kTaking,
    /// Reading the row to find out which request owns the claim.
    kCheckingTake,
    /// Writing the claim as released, so that an earlier write that takes it
    /// can no longer be applied.
    kFencing,
    /// The request may be running.
    kRunning,
    /// Reading the row before the final state is written, or after a write to
    /// check whether it was applied.
    kCheckingFinalState,
    /// Writing the final state.
    kStoringFinalState,
    /// Waiting before the next attempt to store the final state.
    kWaiting,
    kEnded,
  };

  /// \param claim `write_id`, `digest` and `deadline` of this request.
  /// \param max_store_time how long to try to store the final state.
  ClaimMachine(std::string row_key,
               Claim claim,
               std::chrono::milliseconds max_store_time);

  [[nodiscard]] ClaimStep step() const noexcept;
  [[nodiscard]] State state() const noexcept { return state_; }

  /// Transaction to commit. Precondition: `step()` is `kWrite`.
  [[nodiscard]] TableTransaction transaction() const;
  /// Key of the claim's row.
  [[nodiscard]] const std::string& row_key() const noexcept { return row_key_; }
  /// Time to wait. Precondition: `step()` is `kWait`.
  [[nodiscard]] std::chrono::milliseconds backoff() const noexcept;

  /// The reply, once it is known; empty before that and if the request may run.
  [[nodiscard]] const std::optional<ClaimReply>& reply() const noexcept {
    return reply_;
  }
  /// Whether the final state is in the table, or nothing had to be stored.
  [[nodiscard]] bool is_stored() const noexcept { return is_stored_; }

  /// Events. Each returns `kUnexpectedEvent` and changes nothing when the
  /// current state does not accept it.
  ///
  /// \param at time of the event by this daemon's monotonic clock.
  /// \param now wall-clock time.
  Result<void> OnWritten(ClaimWriteResult result, TimePoint at);
  Result<void> OnRow(const std::optional<TableRow>& row,
                     TimePoint at,
                     std::chrono::system_clock::time_point now);
  Result<void> OnReadFailed(TimePoint at);
  Result<void> OnWaited(TimePoint at);
  Result<void> OnResponse(StoredResponse response, TimePoint at);
  Result<void> OnNotRun(TimePoint at);
  Result<void> OnUnknown(TimePoint at);

 private:
  static constexpr int kMaxTakeRetries = 2;
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};
  static constexpr std::chrono::milliseconds kMinBackoff{100};
  static constexpr std::chrono::milliseconds kMaxBackoff{5'000};

  Result<void> StartStoring(ClaimState final_state, TimePoint at);
  /// Moves the deadline to `now` if that is later, so that the retention is
  /// counted from the final state even after a long pause of this daemon.
  void ExtendDeadline(std::chrono::system_clock::time_point now);
  void Refuse(Failure failure);
  void RefuseUnavailable(TimePoint at);
  /// Reads the row again, or refuses the request after `kMaxTakeRetries`.
  void RereadOrRefuse(TimePoint at);
  void HandleTakeRow(const std::optional<TableRow>& row,
                     TimePoint at,
                     std::chrono::system_clock::time_point now);
  void ReplyToRepeat(const Claim& found,
                     std::chrono::system_clock::time_point now);
  void HandleFinalStateRow(const std::optional<TableRow>& row);
  void RetryStoreLater(TimePoint at);
  void End(bool is_stored);

  std::string row_key_;
  Claim claim_;
  std::chrono::milliseconds max_store_time_;
  State state_ = State::kTaking;
  /// Row version that the next write requires; 0 for an absent row.
  std::uint64_t expected_version_ = 0;
  /// Whether a write that takes the claim may still be applied.
  bool is_take_pending_ = false;
  int take_retries_ = 0;
  int store_failures_ = 0;
  std::optional<TimePoint> give_up_at_;
  std::optional<ClaimReply> reply_;
  bool is_stored_ = false;
};

/// Returns a transaction that deletes the claims among `rows` whose retention
/// has expired; it has no writes when there are none.
///
/// \param now wall-clock time.
[[nodiscard]] TableTransaction SweepClaims(
    const std::vector<TableRow>& rows,
    std::chrono::system_clock::time_point now);

}  // namespace sycamoreford
