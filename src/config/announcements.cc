#include "sycamoreford/config/announcements.h"

namespace sycamoreford {

bool Announcements::Add(Revision revision,
                        const std::string& write_id,
                        TimePoint now) {
  if (write_id.empty() ||
      (pending_.size() >= kMaxPending && pending_.count(write_id) == 0)) {
    return false;
  }
  pending_.try_emplace(write_id, Pending{revision, now});
  return true;
}

void Announcements::Withdraw(const std::string& write_id) {
  pending_.erase(write_id);
}

void Announcements::RemoveUpTo(Revision revision) {
  std::erase_if(pending_, [&](const auto& item) {
    return item.second.revision <= revision;
  });
}

void Announcements::RemoveExpired(TimePoint read_started) {
  std::erase_if(pending_, [&](const auto& item) {
    return item.second.added_at + kMaxWriteDuration < read_started;
  });
}

}  // namespace sycamoreford
