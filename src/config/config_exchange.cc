#include "sycamoreford/config/config_exchange.h"

namespace sycamoreford {

void ConfigExchange::CountIfInvalid(OfferResult offered) {
  if (offered == OfferResult::kInvalid) {
    ++invalid_offers_;
  }
}

bool ConfigExchange::HasPendingAnnouncement() {
  announcements_.RemoveUpTo(follower_.current()->revision());
  return !announcements_.empty();
}

bool ConfigExchange::RequestMissingChanges(v1::PeerMessage& message) const {
  const Revision revision = follower_.current()->revision();
  if (follower_.highest_known_revision() <= revision) {
    return false;
  }
  message.set_want(true);
  message.set_want_after(revision.value());
  return true;
}

void ConfigExchange::AddChangesSince(Revision after,
                                     v1::PeerMessage& answer) const {
  const std::vector<v1::Change>& recent = follower_.recent_changes();
  std::size_t bytes = 0;
  for (const v1::Change& change : recent) {
    if (change.revision() > after.value()) {
      *answer.add_changes() = change;
      bytes += change.ByteSizeLong();
    }
  }
  const bool is_gapless = answer.changes_size() > 0 &&
                          answer.changes(0).revision() == after.value() + 1;
  if (!is_gapless || bytes > kMaxChangeBytes) {
    answer.clear_changes();
    *answer.mutable_snapshot() = follower_.current()->ToSnapshot();
  }
}

bool ConfigExchange::Receive(const v1::PeerMessage& message,
                             v1::PeerMessage& answer,
                             TimePoint now) {
  bool has_answer = false;
  for (const v1::Announcement& item : message.announcements()) {
    if (announcements_.Add(Revision(item.revision()), item.write_id(), now)) {
      answer.add_acknowledged(item.write_id());
      has_answer = true;
    }
  }
  for (const std::string& write_id : message.withdrawn()) {
    announcements_.Withdraw(write_id);
  }
  for (const v1::Change& change : message.changes()) {
    CountIfInvalid(follower_.OfferChange(change));
  }
  if (message.has_snapshot()) {
    CountIfInvalid(follower_.OfferSnapshot(message.snapshot()));
  }
  follower_.ObserveRevision(Revision(message.revision()));
  const Revision revision = follower_.current()->revision();
  if (message.want() && message.want_after() < revision.value()) {
    AddChangesSince(Revision(message.want_after()), answer);
    has_answer = true;
  }
  // The sender has a higher revision; request it now rather than wait for the
  // next poll.
  if (message.revision() > revision.value() && !message.has_snapshot()) {
    has_answer = RequestMissingChanges(answer) || has_answer;
  }
  return has_answer;
}

}  // namespace sycamoreford
