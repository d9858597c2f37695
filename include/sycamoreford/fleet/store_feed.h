#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/store_news.h"
#include "sycamoreford/fleet/store_position.h"

namespace sycamoreford {

/// What a daemon that does not read the store itself knows of it from others,
/// and when it has to read for itself.
///
/// News are relied on for `kMaxSilence`, and while the list that results is the
/// one that the sender has. What is missing after that was lost on the way, and
/// is read from the last position at which the lists were the same.
///
/// Thread safety: none.
class StoreFeed {
 public:
  /// A reader tells every `StoreTeller::kInterval`; three lost messages.
  static constexpr std::chrono::milliseconds kMaxSilence{1'000};
  /// Within which all messages about one change arrive.
  static constexpr std::chrono::milliseconds kMaxDifference{300};
  /// Interval between tries to read a store that others say is lost.
  static constexpr std::chrono::milliseconds kLostInterval{2'000};

  /// \param spread added to `kLostInterval`; differs between daemons so that
  ///     they do not all try at the same moment.
  explicit StoreFeed(std::chrono::milliseconds spread) : spread_(spread) {}

  /// This daemon is about to read the store itself.
  void OnTry(TimePoint now) {
    tried_at_ = now;
    has_answered_ = false;
  }

  /// This daemon has read the store itself, up to `position`.
  void OnRead(StorePosition position);

  /// Takes news. A position without an era is of the era of the last one that
  /// is known.
  ///
  /// \returns whether the changes in it are to be applied: not if they are
  ///     older than what is known.
  [[nodiscard]] bool OnNews(const StoreNews& news, TimePoint now);

  /// Called after news for which `OnNews` returned true were applied.
  ///
  /// \param digest of the list that results.
  void OnApplied(const StoreNews& news, std::uint64_t digest, TimePoint now);

  /// Whether a daemon tells that reads the store at present.
  [[nodiscard]] bool IsHeard(TimePoint now) const {
    return heard_at_ && now - *heard_at_ < kMaxSilence;
  }

  /// Whether this daemon need not read the list itself.
  [[nodiscard]] bool Covers(TimePoint now) const;

  /// Whether others say that the store does not answer them.
  [[nodiscard]] bool IsStoreLost(TimePoint now) const {
    return lost_at_ && now - *lost_at_ < kMaxSilence;
  }

  /// Highest position of which anything is known.
  [[nodiscard]] StorePosition newest() const noexcept { return newest_; }

  /// Position from which to read changes: up to it the list is known to be
  /// right. Nothing before the first read.
  [[nodiscard]] const std::optional<StorePosition>& position() const noexcept {
    return verified_;
  }

 private:
  /// Highest position of which changes were applied.
  StorePosition newest_;
  std::optional<StorePosition> verified_;
  /// When news that were not older than what is known last came.
  std::optional<TimePoint> heard_at_;
  std::optional<TimePoint> lost_at_;
  /// Since when the list differs from that of the readers.
  std::optional<TimePoint> differs_since_;
  std::optional<TimePoint> tried_at_;
  /// Whether the store has answered the last try.
  bool has_answered_ = false;
  std::chrono::milliseconds spread_;
};

}  // namespace sycamoreford
