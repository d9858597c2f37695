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

/// How a write of a claim ended.
enum class ClaimWriteResult {
  kCommitted,
  /// A condition did not hold.
  kConflict,
  /// It certainly had no effect.
  kUnavailable,
  /// It may have had an effect, or may still have one.
  kAnswerLost,
};

/// What the owner of a claim has to do next.
enum class ClaimStep {
  /// Read the claim's row.
  kRead,
  /// Commit `ClaimMachine::transaction`.
  kWrite,
  /// Run the work now; the only step that permits it, given at most once.
  kDispatch,
  /// Wait for `ClaimMachine::backoff`, then tell `OnWaited`.
  kWait,
  /// Nothing is left to do.
  kEnd,
};

/// What the caller is told in place of the work's own result.
struct ClaimReply {
  /// Set when the work has ended before.
  std::optional<StoredResponse> replay{};
  /// Set when there is no answer to give.
  std::optional<Failure> refusal{};
};

/// The life of one call's claim, from taking it to keeping its end.
///
/// It never overwrites what another call wrote, but for a released claim. A
/// write whose answer was lost is settled by reading back; one that may still
/// take effect is fenced off by a write under the same condition.
///
/// Thread safety: none.
class ClaimMachine {
 public:
  enum class State {
    /// The write that takes the claim is under way.
    kTaking,
    /// Finding out whose the claim is.
    kCheckingTake,
    /// Fencing off a write that may still take effect.
    kFencing,
    /// The work may be running.
    kRunning,
    /// Reading the row before, or after, its end is written.
    kCheckingFinalState,
    /// The write that keeps the end is under way.
    kStoringFinalState,
    /// Waiting before the next try to keep the end.
    kWaiting,
    kEnded,
  };

  /// \param claim `write_id`, `digest` and `deadline` of this call.
  /// \param max_store_time how long to try to keep the end.
  ClaimMachine(std::string row_key,
               Claim claim,
               std::chrono::milliseconds max_store_time);

  [[nodiscard]] ClaimStep step() const noexcept;
  [[nodiscard]] State state() const noexcept { return state_; }

  /// The write to commit. Precondition: `step()` is `kWrite`.
  [[nodiscard]] TableTransaction transaction() const;
  /// Row of the claim.
  [[nodiscard]] const std::string& row_key() const noexcept { return row_key_; }
  /// Time to wait. Precondition: `step()` is `kWait`.
  [[nodiscard]] std::chrono::milliseconds backoff() const noexcept;

  /// The reply once it is decided; empty for a call that may run its work.
  [[nodiscard]] const std::optional<ClaimReply>& reply() const noexcept {
    return reply_;
  }
  /// Whether the end is in the table, or nothing had to be kept.
  [[nodiscard]] bool is_stored() const noexcept { return is_stored_; }

  /// The events. Each returns `kUnexpectedEvent` and changes nothing when the
  /// present state has no transition for it.
  ///
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
  /// Starts the retention at the end, also after a long pause of this daemon.
  void ExtendDeadline(std::chrono::system_clock::time_point now);
  void Refuse(Failure failure);
  void RefuseUnavailable(TimePoint at);
  void RereadOrRefuse(TimePoint at);
  void HandleTakeRow(const std::optional<TableRow>& row,
                     TimePoint at,
                     std::chrono::system_clock::time_point now);
  void ReplyForOtherCall(const Claim& found,
                         std::chrono::system_clock::time_point now);
  void HandleFinalStateRow(const std::optional<TableRow>& row);
  void RetryStoreLater(TimePoint at);
  void End(bool is_stored);

  std::string row_key_;
  Claim claim_;
  std::chrono::milliseconds max_store_time_;
  State state_ = State::kTaking;
  /// Version that the present write demands; 0 for an absent row.
  std::uint64_t expected_version_ = 0;
  /// Whether a write that takes the claim may still take effect.
  bool is_take_pending_ = false;
  int take_retries_ = 0;
  int store_failures_ = 0;
  std::optional<TimePoint> give_up_at_;
  std::optional<ClaimReply> reply_;
  bool is_stored_ = false;
};

/// Deletes the claims among `rows` whose retention has passed; without writes
/// when there are none.
///
/// \param now wall-clock time.
[[nodiscard]] TableTransaction SweepClaims(
    const std::vector<TableRow>& rows,
    std::chrono::system_clock::time_point now);

}  // namespace sycamoreford
