#include "sycamoreford/endpoints/leaving_tracker.h"

#include <utility>

namespace sycamoreford {

std::string ToString(const LeavingSources& sources) {
  std::string text;
  const auto add = [&text](bool is_set, std::string_view name) {
    if (is_set) {
      text.append(text.empty() ? "" : ",").append(name);
    }
  };
  add(sources.operators, "operators");
  add(sources.vm_list, "list");
  add(sources.endpoint, "endpoint");
  return text.empty() ? "none" : text;
}

void LeavingTracker::SetEndpoints(
    const std::vector<WatchedEndpoint>& endpoints) {
  std::map<EndpointId, Entry> entries;
  for (const WatchedEndpoint& endpoint : endpoints) {
    Entry& entry = entries[endpoint.id];
    const auto known = entries_.find(endpoint.id);
    if (known != entries_.end() && known->second.address == endpoint.address) {
      entry = known->second;
    }
    entry.address = endpoint.address;
    entry.sources.operators = endpoint.leaving;
    entry.sources.vm_list = IsListedAsLeaving(endpoint.address);
  }
  entries_ = std::move(entries);
}

void LeavingTracker::OnVmList(const std::vector<ListedVm>& vms,
                              TimePoint requested_at) {
  if (requested_at < list_requested_at_) {
    return;
  }
  list_requested_at_ = requested_at;
  listed_leaving_.clear();
  for (const ListedVm& vm : vms) {
    bool& leaving = listed_leaving_[vm.address];
    leaving = leaving || vm.leaving;
  }
  for (auto& [id, entry] : entries_) {
    entry.sources.vm_list = IsListedAsLeaving(entry.address);
  }
}

void LeavingTracker::OnState(const EndpointId& id,
                             const std::string& address,
                             bool leaving,
                             TimePoint requested_at) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.address != address) {
    return;
  }
  Entry& entry = found->second;
  const bool is_newer = requested_at > entry.state_requested_at;
  if (!is_newer && (requested_at < entry.state_requested_at || !leaving)) {
    return;
  }
  entry.state_requested_at = requested_at;
  entry.sources.endpoint = leaving;
}

void LeavingTracker::OnRefusal(const EndpointId& id, TimePoint refused_at) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  OnState(id, found->second.address, true, refused_at);
}

LeavingSources LeavingTracker::SourcesOf(const EndpointId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? LeavingSources{} : found->second.sources;
}

bool LeavingTracker::IsListedAsLeaving(const std::string& address) const {
  const std::string host = address.substr(0, address.rfind(':'));
  for (const std::string& name : {address, host}) {
    const auto found = listed_leaving_.find(name);
    if (found != listed_leaving_.end() && found->second) {
      return true;
    }
  }
  return false;
}

}  // namespace sycamoreford
