#include "sycamoreford/fleet/daemon_roster.h"

#include <algorithm>
#include <set>

namespace sycamoreford {

void DaemonRoster::OnRows(const std::vector<TableRow>& rows, TimePoint now) {
  std::set<std::string> listed;
  for (const TableRow& row : rows) {
    listed.insert(row.key);
    ObservedRow& observed = rows_[row.key];
    if (observed.version != row.version) {
      observed = {
          .version = row.version, .changed_at = now, .address = row.value};
    }
  }
  std::erase_if(rows_,
                [&](const auto& it) { return !listed.contains(it.first); });
}

std::uint32_t DaemonRoster::Count(TimePoint now) const {
  return static_cast<std::uint32_t>(Addresses(now).size());
}

std::size_t DaemonRoster::RankOf(const std::string& address,
                                 TimePoint now) const {
  const auto addresses = Addresses(now);
  return static_cast<std::size_t>(
      std::find(addresses.begin(), addresses.end(), address) -
      addresses.begin());
}

bool DaemonRoster::Contains(const std::string& address, TimePoint now) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& it) {
    return it.second.address == address && it.second.IsLive(now);
  });
}

std::vector<std::string> DaemonRoster::Addresses(TimePoint now) const {
  std::vector<std::string> addresses;
  for (const auto& [key, observed] : rows_) {
    if (observed.IsLive(now)) {
      addresses.push_back(observed.address);
    }
  }
  return addresses;
}

}  // namespace sycamoreford
