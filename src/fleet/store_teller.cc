#include "sycamoreford/fleet/store_teller.h"

#include <algorithm>
#include <utility>

namespace sycamoreford {

void StoreTeller::Forget() {
  changed_.clear();
  removed_.clear();
  may_return_ = false;
  changed_since_.reset();
}

void StoreTeller::OnRead(StorePosition position,
                         std::uint64_t digest,
                         TimePoint now) {
  position_ = std::max(position_, position);
  digest_ = digest;
  read_at_ = now;
  is_lost_ = false;
}

void StoreTeller::OnChanged(const EndpointRecord& record, TimePoint now) {
  if (changed_.size() >= kMaxChanges) {
    // The others notice by the digest, and read for themselves.
    Forget();
  }
  removed_.erase(record.id);
  changed_.insert_or_assign(record.id, record);
  changed_since_ = changed_since_.value_or(now);
}

void StoreTeller::OnRemoved(const std::string& id,
                            bool may_return,
                            TimePoint now) {
  if (removed_.size() >= kMaxChanges) {
    Forget();
  }
  changed_.erase(id);
  removed_.insert(id);
  may_return_ = may_return_ || may_return;
  changed_since_ = changed_since_.value_or(now);
}

void StoreTeller::OnNews(const StoreNews& news, TimePoint now) {
  if (news.is_store_lost) {
    return;
  }
  told_at_ = now;
  told_revision_ = std::max(told_revision_, news.revision);
  if (news.digest == digest_) {
    Forget();
  }
}

std::vector<StoreNews> StoreTeller::TakeDue(std::size_t rank,
                                            std::uint64_t revision,
                                            TimePoint now) {
  const auto wait = kStep * rank;
  const bool is_fresh = read_at_ && now - *read_at_ < kMaxAge;
  const bool is_due = !told_at_ || now - *told_at_ >= kInterval + wait;
  if (!is_fresh) {
    if (!is_lost_ || !is_due) {
      return {};
    }
    told_at_ = now;
    StoreNews news;
    news.revision = revision;
    news.is_store_lost = true;
    return {news};
  }
  const bool has_changes = changed_since_ && now - *changed_since_ >= wait;
  if (!is_due && !has_changes && revision <= told_revision_) {
    return {};
  }
  told_at_ = now;
  told_revision_ = std::max(told_revision_, revision);
  std::vector<StoreNews> messages(1);
  const auto room = [&]() -> StoreNews& {
    if (messages.back().changed.size() + messages.back().removed.size() >=
        kChangesPerMessage) {
      messages.emplace_back();
    }
    return messages.back();
  };
  for (auto& [id, record] : changed_) {
    room().changed.push_back(std::move(record));
  }
  for (const std::string& id : removed_) {
    room().removed.push_back(id);
  }
  for (StoreNews& news : messages) {
    news.position = position_;
    news.digest = digest_;
    news.revision = revision;
    news.may_return = may_return_;
  }
  Forget();
  return messages;
}

}  // namespace sycamoreford
