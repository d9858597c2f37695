#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Timing of a lease. A renewal makes one write and one read.
struct LeaseTimes {
  /// How long the lease is held, counted from the start of the write that
  /// acquired or renewed it.
  std::chrono::milliseconds ttl{30'000};
  /// Interval between renewals.
  std::chrono::milliseconds renewal_interval{10'000};
  /// Interval at which daemons that do not hold the lease read its row.
  std::chrono::milliseconds poll_interval = renewal_interval;
  /// Added to the TTL before another daemon acquires the lease, because clocks
  /// run at different speeds.
  std::chrono::milliseconds max_clock_drift{1'000};
};

/// A lease as stored in the table.
struct LeaseRow {
  /// Name of the holder; empty if the lease was released.
  std::string holder;
  FencingToken fencing{};
  /// Id of the write. After a lost answer, reading the row shows by this id
  /// whether the write was applied.
  std::string write_id;
};

/// Row key of the lease with this name.
[[nodiscard]] std::string LeaseRowKey(const std::string& name);
/// Serializes a lease to JSON, as stored in the table.
[[nodiscard]] std::string SerializeLease(const LeaseRow& lease);
/// Parses the JSON text; returns `kMalformed` when it is not a valid lease.
[[nodiscard]] Result<LeaseRow> ParseLease(const std::string& text);

/// State machine of one lease: decides when a daemon acquires, renews, holds
/// and releases it.
///
/// Only the monotonic clock of this daemon is used: a daemon acquires the lease
/// only after it has seen the row unchanged for the whole TTL, and a holder
/// counts the TTL from before it started the write. The fencing token is
/// incremented in the transaction that grants the lease.
///
/// A lease holds within an era of the table only, as a table that comes back
/// from an older copy may lack it. Tokens of a later era are greater than all
/// before.
///
/// Thread safety: none.
class LeaseMachine {
 public:
  enum class State {
    /// Not the holder; reads the row periodically.
    kWatching,
    /// A write that acquires or renews the lease is in progress, or did not
    /// succeed; then the row is read to find out whether it was applied.
    kWriting,
    /// The holder, until `held_until`.
    kHolding,
    /// Released for good.
    kReleased,
  };

  /// Next action of the daemon.
  enum class Step { kWait, kRead, kWrite };

  /// \param holder unique name of this run of the daemon; never reused.
  LeaseMachine(std::string name, std::string holder, LeaseTimes times);

  [[nodiscard]] State state() const noexcept { return state_; }
  [[nodiscard]] const std::string& name() const noexcept { return name_; }

  /// Sets `LeaseTimes::poll_interval`.
  void SetPollInterval(std::chrono::milliseconds poll_interval) noexcept {
    times_.poll_interval = poll_interval;
  }

  /// Action that is due at `now`. `kWrite` is returned only after an `OnRow`
  /// that permits the write.
  [[nodiscard]] Step NextStep(TimePoint now) const noexcept;
  /// When to call `NextStep` again. Precondition: `NextStep` returned `kWait`.
  [[nodiscard]] TimePoint wake_at() const noexcept { return next_read_at_; }

  /// Starts a write. Precondition: `NextStep` returned `kWrite`.
  ///
  /// \param write_id unique over all daemons.
  /// \returns the transaction to commit.
  [[nodiscard]] TableTransaction BeginWrite(const std::string& write_id,
                                            TimePoint now);

  /// The table is in this era; 0 if it states none. In a new one, this daemon
  /// no longer holds the lease, and forgets the row.
  void OnEra(std::uint64_t era);
  [[nodiscard]] std::uint64_t era() const noexcept { return era_; }

  /// A read that ended at `now` found this row; empty if there is none.
  void OnRow(const std::optional<TableRow>& row, TimePoint now);
  /// The read failed.
  void OnReadFailed(TimePoint now);
  /// The write ended.
  ///
  /// \param committed empty when the write failed or its answer was lost.
  void OnWritten(std::optional<bool> committed, TimePoint now);

  /// Fencing token to send with an order at `now`; empty if this daemon does
  /// not hold the lease by its own clock. Must be read right before each send.
  [[nodiscard]] std::optional<FencingToken> TokenAt(TimePoint now) const;

  /// The lease as this daemon last read it.
  [[nodiscard]] const LeaseRow& observed() const noexcept { return observed_; }
  /// When this daemon stops holding the lease; in the past if it does not hold
  /// it.
  [[nodiscard]] TimePoint held_until() const noexcept { return held_until_; }

  /// Stops holding the lease at once. Precondition: the row was read since the
  /// last write; otherwise the condition of the release fails, and another
  /// daemon can acquire the lease only after the TTL.
  ///
  /// \returns the write with which another daemon can acquire the lease without
  ///     waiting; empty when this daemon does not hold the lease.
  [[nodiscard]] std::optional<TableTransaction> Release(TimePoint now);

 private:
  /// Fencing tokens of one era; more than there are changes of the holder.
  static constexpr std::uint64_t kTokensPerEra = 1UL << 20;

  /// Whether this daemon has written the row as last read, in this era.
  [[nodiscard]] bool IsOwn() const noexcept;
  /// The token of the next acquisition.
  [[nodiscard]] FencingToken NextToken() const noexcept;
  /// Whether the lease was free at the last read.
  [[nodiscard]] bool MayAcquire() const noexcept;
  /// When the lease expires unless its holder renews it.
  [[nodiscard]] TimePoint ExpiresAt() const noexcept;
  /// Enters `kHolding` for the TTL of the write that was applied.
  void MarkHeld();

  std::string name_;
  std::string holder_;
  LeaseTimes times_;
  State state_ = State::kWatching;
  std::uint64_t era_ = 0;
  TimePoint next_read_at_{};
  /// The row as last read, and since when it has been unchanged.
  std::optional<std::uint64_t> observed_version_;
  LeaseRow observed_;
  TimePoint unchanged_since_{};
  /// When the row was last read.
  TimePoint last_read_at_{};
  /// Whether the last read succeeded and no write has been started since.
  bool is_fresh_ = false;
  /// The write in progress.
  LeaseRow pending_write_;
  TimePoint write_started_at_{};
  TimePoint held_until_{};
  FencingToken fencing_{};
};

}  // namespace sycamoreford
