#include "sycamoreford/fleet/store_feed.h"

#include <algorithm>

namespace sycamoreford {

void StoreFeed::OnRead(StorePosition position) {
  newest_ = std::max(newest_, position);
  verified_ = std::max(verified_.value_or(position), position);
  differs_since_.reset();
  has_answered_ = true;
}

bool StoreFeed::OnNews(const StoreNews& news, TimePoint now) {
  if (news.is_store_lost) {
    lost_at_ = now;
    return false;
  }
  const StorePosition position = {
      .era = news.position.era == 0 ? newest_.era : news.position.era,
      .version = news.position.version};
  if (!verified_ || position < newest_) {
    return false;
  }
  newest_ = position;
  heard_at_ = now;
  lost_at_.reset();
  return true;
}

void StoreFeed::OnApplied(const StoreNews& news,
                          std::uint64_t digest,
                          TimePoint now) {
  if (digest == news.digest) {
    verified_ = newest_;
    differs_since_.reset();
  } else {
    differs_since_ = differs_since_.value_or(now);
  }
}

bool StoreFeed::Covers(TimePoint now) const {
  if (!verified_) {
    return false;
  }
  if (!IsHeard(now)) {
    // The store may turn away those who read for all, and serve this one.
    return IsStoreLost(now) && !has_answered_ && tried_at_ &&
           now - *tried_at_ < kLostInterval + spread_;
  }
  return !differs_since_ || now - *differs_since_ < kMaxDifference;
}

}  // namespace sycamoreford
