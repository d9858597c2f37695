#include "impl/peer_json.h"

#include <array>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

namespace sycamoreford::impl {

namespace json = boost::json;

namespace {

constexpr int kHexadecimal = 16;

std::string ToHex(std::uint64_t value) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, kHexadecimal);
  return {digits.data(), end.ptr};
}

/// \throws std::invalid_argument if the text is not such a number.
template <class T>
T FromHex(const std::string& text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  if (error != std::errc() || rest != end) {
    throw std::invalid_argument("not a hexadecimal number");
  }
  return value;
}

std::int64_t ToMs(Duration age) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

/// \throws std::invalid_argument if it is not an age in milliseconds.
Duration ToAge(const json::value& value) {
  constexpr std::int64_t kMaxAgeMs = 86'400'000;
  const auto age = value.to_number<std::int64_t>();
  if (age < 0 || age > kMaxAgeMs) {
    throw std::invalid_argument("not an age");
  }
  return std::chrono::milliseconds(age);
}

/// An entry as an array, since a datagram has to hold several.
json::array ToJson(const EndpointRecord& record) {
  return {record.id,           record.service,      record.address,
          record.data_centre,  record.kind,         record.slots,
          record.is_leaving,   record.layers.first, record.layers.end,
          record.started_at_ms};
}

EndpointRecord ToEndpointRecord(const json::array& fields) {
  const auto text = [&](std::size_t i) {
    return json::value_to<std::string>(fields.at(i));
  };
  const auto number = [&](std::size_t i) {
    return fields.at(i).to_number<std::uint32_t>();
  };
  EndpointRecord record;
  record.id = text(0);
  record.service = text(1);
  record.address = text(2);
  record.data_centre = text(3);
  record.kind = text(4);
  record.slots = number(5);
  record.is_leaving = fields.at(6).as_bool();
  record.layers = {number(7), number(8)};
  record.started_at_ms = fields.at(9).to_number<std::uint64_t>();
  return record;
}

}  // namespace

json::object ToJson(const TraitReport& report) {
  json::object crashes;
  for (const TraitReport::Crash& crash : report.crashes) {
    crashes[ToHex(crash.run.value())] = ToMs(crash.age);
  }
  const auto* request = std::get_if<RequestFingerprint>(&report.trait);
  json::object object = {
      {request == nullptr ? "part" : "fingerprint",
       ToHex(request == nullptr ? std::get<PromptPartId>(report.trait).value()
                                : request->value())},
      {"crashes", crashes},
      {"seen", ToMs(report.request_age)},
      {"trials", report.trials}};
  if (report.sound_age) {
    object["sound"] = ToMs(*report.sound_age);
  }
  if (report.trial_age) {
    object["trial"] = ToMs(*report.trial_age);
  }
  return object;
}

TraitReport ToTraitReport(const json::object& object) {
  TraitReport report;
  const auto id = [&](const char* key) {
    return FromHex<std::uint64_t>(json::value_to<std::string>(object.at(key)));
  };
  if (object.contains("part")) {
    report.trait = PromptPartId(id("part"));
  } else {
    report.trait = RequestFingerprint(id("fingerprint"));
  }
  for (const auto& [run, age] : object.at("crashes").as_object()) {
    report.crashes.push_back(
        {EndpointRun(FromHex<std::uint32_t>(std::string(run))), ToAge(age)});
  }
  report.request_age = ToAge(object.at("seen"));
  report.trials = object.at("trials").to_number<std::uint32_t>();
  if (const json::value* sound = object.if_contains("sound")) {
    report.sound_age = ToAge(*sound);
  }
  if (const json::value* trial = object.if_contains("trial")) {
    report.trial_age = ToAge(*trial);
  }
  return report;
}

json::array ToJson(const std::vector<EndpointLimitReport>& reports) {
  json::array array;
  for (const EndpointLimitReport& report : reports) {
    json::object object = {{"endpoint", report.endpoint},
                           {"age", ToMs(report.age)},
                           {"sends", report.sends}};
    if (report.per_second) {
      object["rate"] = *report.per_second;
    }
    array.push_back(std::move(object));
  }
  return array;
}

json::array ToJson(const std::vector<ChainLoadReport>& loads) {
  json::array array;
  for (const ChainLoadReport& load : loads) {
    array.push_back({{"first", load.first_endpoint},
                     {"requests", load.requests},
                     {"age", ToMs(load.age)}});
  }
  return array;
}

ChainLoadReport ToChainLoadReport(const json::object& object) {
  return {.first_endpoint = json::value_to<std::string>(object.at("first")),
          .requests = object.at("requests").to_number<std::uint32_t>(),
          .age = ToAge(object.at("age"))};
}

json::array ToJson(const std::vector<LeavingRun>& runs) {
  json::array array;
  for (const auto& [run, until_ms] : runs) {
    json::object object = {{"endpoint", run.id}, {"start", run.started_at_ms}};
    if (until_ms > run.started_at_ms) {
      object["until"] = until_ms;
    }
    array.push_back(std::move(object));
  }
  return array;
}

LeavingRun ToLeavingRun(const json::object& object) {
  LeavingRun leaving{.run = {json::value_to<std::string>(object.at("endpoint")),
                             object.at("start").to_number<std::uint64_t>()}};
  if (const json::value* until = object.if_contains("until")) {
    leaving.until_ms = until->to_number<std::uint64_t>();
  }
  return leaving;
}

json::object ToJson(const EndpointFinding& finding) {
  json::object object = {{"found", finding.run.id},
                         {"start", finding.run.started_at_ms},
                         {"lost", finding.is_lost}};
  if (!finding.is_lost) {
    object["first"] = finding.layers.first;
    object["end"] = finding.layers.end;
  }
  return object;
}

EndpointFinding ToEndpointFinding(const json::object& object) {
  EndpointFinding finding;
  finding.run = {json::value_to<std::string>(object.at("found")),
                 object.at("start").to_number<std::uint64_t>()};
  finding.is_lost = object.at("lost").as_bool();
  if (!finding.is_lost) {
    finding.layers = {object.at("first").to_number<std::uint32_t>(),
                      object.at("end").to_number<std::uint32_t>()};
  }
  return finding;
}

json::object ToJson(const StoreNews& news) {
  json::object object = {{"news", news.position.version},
                         {"revision", news.revision}};
  if (news.position.era != 0) {
    object["era"] = news.position.era;
  }
  if (news.is_store_lost) {
    object["store_lost"] = true;
    return object;
  }
  object["digest"] = ToHex(news.digest);
  if (!news.changed.empty()) {
    json::array changed;
    for (const EndpointRecord& record : news.changed) {
      changed.push_back(ToJson(record));
    }
    object["changed"] = std::move(changed);
  }
  if (!news.removed.empty()) {
    object["removed"] = json::value_from(news.removed);
    object["may_return"] = news.may_return;
  }
  return object;
}

StoreNews ToStoreNews(const json::object& object) {
  StoreNews news;
  news.position.version = object.at("news").to_number<std::uint64_t>();
  if (const json::value* era = object.if_contains("era")) {
    news.position.era = era->to_number<std::uint64_t>();
  }
  news.revision = object.at("revision").to_number<std::uint64_t>();
  if (object.contains("store_lost")) {
    news.is_store_lost = true;
    return news;
  }
  news.digest =
      FromHex<std::uint64_t>(json::value_to<std::string>(object.at("digest")));
  if (const json::value* changed = object.if_contains("changed")) {
    for (const json::value& record : changed->as_array()) {
      news.changed.push_back(ToEndpointRecord(record.as_array()));
    }
  }
  if (const json::value* removed = object.if_contains("removed")) {
    news.removed = json::value_to<std::vector<std::string>>(*removed);
    news.may_return = object.at("may_return").as_bool();
  }
  return news;
}

EndpointLimitReport ToLimitReport(const json::object& object) {
  EndpointLimitReport report;
  report.endpoint = json::value_to<std::string>(object.at("endpoint"));
  report.age = ToAge(object.at("age"));
  report.sends = object.at("sends").to_number<std::uint64_t>();
  if (const json::value* rate = object.if_contains("rate")) {
    report.per_second = rate->to_number<double>();
  }
  return report;
}

}  // namespace sycamoreford::impl
