#include "sycamoreford/fleet/listed_endpoints.h"

#include <xxhash.h>

namespace sycamoreford {
namespace {

std::uint64_t HashOf(const EndpointRecord& record) {
  std::string text;
  const auto add = [&](const std::string& field) {
    text += field;
    text += '\0';
  };
  add(record.id);
  add(record.service);
  add(record.address);
  add(record.data_centre);
  add(record.kind);
  add(std::to_string(record.slots));
  add(record.is_leaving ? "leaving" : "");
  add(std::to_string(record.layers.first));
  add(std::to_string(record.layers.end));
  add(std::to_string(record.started_at_ms));
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool ListedEndpoints::Set(const EndpointRecord& record) {
  const auto [entry, is_new] = records_.try_emplace(record.id, record);
  if (!is_new) {
    if (entry->second == record) {
      return false;
    }
    digest_ -= HashOf(entry->second);
    entry->second = record;
  }
  digest_ += HashOf(record);
  return true;
}

bool ListedEndpoints::Remove(const std::string& id) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return false;
  }
  digest_ -= HashOf(found->second);
  records_.erase(found);
  return true;
}

std::vector<std::string> ListedEndpoints::Ids() const {
  std::vector<std::string> ids;
  ids.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace sycamoreford
