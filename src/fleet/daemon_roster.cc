#include "sycamoreford/fleet/daemon_roster.h"

#include <algorithm>
#include <set>

namespace sycamoreford {

void DaemonRoster::OnRows(const std::vector<TableRow>& rows, TimePoint now) {
  read_at_ = now;
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

std::uint32_t DaemonRoster::Count() const {
  return static_cast<std::uint32_t>(Addresses().size());
}

std::size_t DaemonRoster::RankOf(const std::string& address) const {
  const auto addresses = Addresses();
  return static_cast<std::size_t>(
      std::find(addresses.begin(), addresses.end(), address) -
      addresses.begin());
}

bool DaemonRoster::Contains(const std::string& address) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& it) {
    return it.second.address == address && IsLive(it.second);
  });
}

std::vector<std::string> DaemonRoster::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [key, observed] : rows_) {
    if (IsLive(observed)) {
      addresses.push_back(observed.address);
    }
  }
  return addresses;
}

}  // namespace sycamoreford
