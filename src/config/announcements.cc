#include "sycamoreford/config/announcements.h"

namespace sycamoreford {

bool Announcements::Add(Revision revision,
                        const std::string& write_id,
                        TimePoint now) {
  if (write_id.empty() ||
      (standing_.size() >= kMost && standing_.count(write_id) == 0)) {
    return false;
  }
  standing_.try_emplace(write_id, Standing{revision, now});
  return true;
}

void Announcements::Withdraw(const std::string& write_id) {
  standing_.erase(write_id);
}

void Announcements::InForce(Revision revision) {
  std::erase_if(standing_, [&](const auto& item) {
    return item.second.revision <= revision;
  });
}

void Announcements::TableRead(TimePoint started) {
  std::erase_if(standing_, [&](const auto& item) {
    return item.second.since + kLongestWrite < started;
  });
}

}  // namespace sycamoreford
