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

/// Times of a lease. One renewal is one write and one read.
struct LeaseTimes {
  /// How long a holder may believe after it began the write that proved it.
  std::chrono::milliseconds ttl{30'000};
  /// Time from one renewal to the next.
  std::chrono::milliseconds renewal_interval{10'000};
  /// Time from one look of those that don't hold it to the next.
  std::chrono::milliseconds poll_interval = renewal_interval;
  /// Added by a taker, for clocks that run at different speeds.
  std::chrono::milliseconds max_clock_drift{1'000};
};

/// A lease as kept in the table.
struct LeaseRow {
  /// Name of the holder; empty when it was released.
  std::string holder;
  FencingToken fencing{};
  /// Names the write, so that a lost answer can be settled by reading back.
  std::string write_id;
};

/// Row of the lease with this name.
[[nodiscard]] std::string LeaseRowKey(const std::string& name);
/// The text form of a lease in the table.
[[nodiscard]] std::string SerializeLease(const LeaseRow& lease);
/// Parses the text form; `kMalformed` when it is none.
[[nodiscard]] Result<LeaseRow> ParseLease(const std::string& text);

/// Decides when a daemon takes, renews, is_held in and releases one lease.
///
/// Only the monotonic clock of this daemon counts: a taker waits until it has
/// seen the row unchanged for the whole TTL, and a holder counts its TTL from
/// before it began the write. The fencing number rises in the same transaction
/// that grants the lease.
///
/// Thread safety: none.
class LeaseMachine {
 public:
  enum class State {
    /// Not the holder; looks at the row from time to time.
    kWatching,
    /// A write that takes or renews is under way, or its answer is unsettled.
    kWriting,
    /// The holder, until `held_until`.
    kHolding,
    /// Released for good.
    kReleased,
  };

  /// What to do next.
  enum class Step { kWait, kRead, kWrite };

  /// \param holder name of this daemon's run; never used by another or again.
  LeaseMachine(std::string name, std::string holder, LeaseTimes times);

  [[nodiscard]] State state() const noexcept { return state_; }
  [[nodiscard]] const std::string& name() const noexcept { return name_; }

  /// Changes how often those that don't hold the lease look at it.
  void SetPollInterval(std::chrono::milliseconds poll_interval) noexcept {
    times_.poll_interval = poll_interval;
  }

  /// What to do at `now`; `kWrite` follows an `OnRow` that allowed it.
  [[nodiscard]] Step NextStep(TimePoint now) const noexcept;
  /// When to ask again. Precondition: `NextStep` was `kWait`.
  [[nodiscard]] TimePoint wake_at() const noexcept { return next_read_at_; }

  /// Begins the write and tells what to commit.
  ///
  /// \param write_id unique over all daemons.
  [[nodiscard]] TableTransaction BeginWrite(const std::string& write_id,
                                            TimePoint now);

  /// The row as a read found it that ended at `now`.
  void OnRow(const std::optional<TableRow>& row, TimePoint now);
  /// The read failed.
  void OnReadFailed(TimePoint now);
  /// The write ended; nothing when its answer was lost.
  void OnWritten(std::optional<bool> committed, TimePoint now);

  /// The number to send with an order at `now`; empty when this daemon is not
  /// the holder by its own clock. Ask right before each send.
  [[nodiscard]] std::optional<FencingToken> TokenAt(TimePoint now) const;

  /// Who holds the lease as far as this daemon knows.
  [[nodiscard]] const LeaseRow& observed() const noexcept { return observed_; }
  /// When this daemon stops believing; in the past when it does not.
  [[nodiscard]] TimePoint held_until() const noexcept { return held_until_; }

  /// Stops believing at once. Precondition: the row was read since the last
  /// write; else its condition fails and the next holder waits for the TTL.
  ///
  /// \returns the write that lets another take over without waiting; empty
  ///     when this daemon does not hold the lease.
  [[nodiscard]] std::optional<TableTransaction> Release(TimePoint now);

 private:
  /// Whether the last read showed that the lease is free.
  [[nodiscard]] bool MayAcquire() const noexcept;
  /// When the lease lapses if its holder does not renew it.
  [[nodiscard]] TimePoint ExpiresAt() const noexcept;
  void MarkHeld();

  std::string name_;
  std::string holder_;
  LeaseTimes times_;
  State state_ = State::kWatching;
  TimePoint next_read_at_{};
  /// The row as last read, and since when it stands unchanged.
  std::optional<std::uint64_t> observed_version_;
  LeaseRow observed_;
  TimePoint unchanged_since_{};
  /// When it was read last.
  TimePoint last_read_at_{};
  bool is_fresh_ = false;
  /// The write under way.
  LeaseRow pending_write_;
  TimePoint write_started_at_{};
  TimePoint held_until_{};
  FencingToken fencing_{};
};

}  // namespace sycamoreford
