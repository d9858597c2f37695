#include "sycamoreford/fleet/peer_state.h"

#include <boost/json.hpp>

namespace sycamoreford {

namespace json = boost::json;

namespace {

json::object ToJson(const EndpointRecord& record) {
  return {{"id", record.id},
          {"service", record.service},
          {"address", record.address},
          {"data_centre", record.data_centre},
          {"kind", record.kind},
          {"slots", record.slots},
          {"is_leaving", record.is_leaving},
          {"first_layer", record.layers.first},
          {"end_layer", record.layers.end},
          {"started_at_ms", record.started_at_ms}};
}

EndpointRecord ToRecord(const json::value& value) {
  const auto text = [&](const char* name) {
    return json::value_to<std::string>(value.at(name));
  };
  const auto number = [&](const char* name) {
    return value.at(name).to_number<std::uint32_t>();
  };
  EndpointRecord record;
  record.id = text("id");
  record.service = text("service");
  record.address = text("address");
  record.data_centre = text("data_centre");
  record.kind = text("kind");
  record.slots = number("slots");
  record.is_leaving = value.at("is_leaving").as_bool();
  record.layers = {number("first_layer"), number("end_layer")};
  record.started_at_ms = value.at("started_at_ms").to_number<std::uint64_t>();
  return record;
}

}  // namespace

std::string PeerState::ToText() const {
  json::array records;
  for (const EndpointRecord& record : endpoints) {
    records.push_back(ToJson(record));
  }
  return json::serialize(
      json::object{{"manifest", manifest_source}, {"endpoints", records}});
}

Result<PeerState> PeerState::Parse(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    PeerState state;
    state.manifest_source = json::value_to<std::string>(value.at("manifest"));
    for (const json::value& item : value.at("endpoints").as_array()) {
      state.endpoints.push_back(ToRecord(item));
    }
    return state;
  } catch (const std::exception&) {
    return Failure{.code = Errc::kMalformed, .where = "peer state"};
  }
}

std::vector<EndpointRecord> PeerState::Records(
    const EndpointDirectory& directory) {
  std::vector<EndpointRecord> records;
  for (const auto& [id, known] : directory.endpoints()) {
    if (!known.drop_at) {
      records.push_back(known.record);
    }
  }
  return records;
}

}  // namespace sycamoreford
