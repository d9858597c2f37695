#include "sycamoreford/adapters/peer_datagrams.h"

#include <charconv>
#include <stdexcept>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "impl/parse_address.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

namespace {

/// Delay after a failed receive.
constexpr std::chrono::milliseconds kReceiveRetryDelay{100};

udp::endpoint ToEndpoint(const std::string& address) {
  const auto endpoint = impl::ParseAddress(address);
  return {endpoint.address(), endpoint.port()};
}

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

json::object ToJson(const StoreNews& news) {
  json::object object = {{"news", news.position}, {"revision", news.revision}};
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
  news.position = object.at("news").to_number<std::uint64_t>();
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

}  // namespace

std::string PeerMessage::ToText() const {
  json::object object;
  if (asks) {
    object["ask"] = true;
  } else if (trait) {
    object = ToJson(*trait);
  } else if (finding) {
    object = ToJson(*finding);
  } else if (news) {
    object = ToJson(*news);
  } else if (!limits.empty()) {
    object["limits"] = ToJson(limits);
  } else if (!leaving.empty()) {
    object["leaving"] = ToJson(leaving);
  } else if (!endpoint.empty()) {
    object["trouble"] = endpoint;
    if (slowness) {
      object["slowness"] = *slowness;
    }
  } else {
    object["service"] = service;
    object["requests"] = usage.requests;
    object["repeats"] = usage.retries;
    object["revision"] = revision;
    if (status) {
      object["dc"] = status->data_centre;
      object["active"] = status->active_requests;
      object["serves"] = status->serves;
    }
    if (!loads.empty()) {
      object["loads"] = ToJson(loads);
    }
  }
  return json::serialize(object);
}

std::optional<PeerMessage> PeerMessage::Parse(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    PeerMessage message;
    if (object.contains("ask")) {
      message.asks = true;
      return message;
    }
    if (object.contains("part") || object.contains("fingerprint")) {
      message.trait = ToTraitReport(object);
      return message;
    }
    if (object.contains("news")) {
      message.news = ToStoreNews(object);
      return message;
    }
    if (object.contains("found")) {
      message.finding = ToEndpointFinding(object);
      return message;
    }
    if (const json::value* limits = object.if_contains("limits")) {
      for (const json::value& report : limits->as_array()) {
        message.limits.push_back(ToLimitReport(report.as_object()));
      }
      return message;
    }
    if (const json::value* leaving = object.if_contains("leaving")) {
      for (const json::value& run : leaving->as_array()) {
        message.leaving.push_back(ToLeavingRun(run.as_object()));
      }
      return message;
    }
    if (const json::value* trouble = object.if_contains("trouble")) {
      message.endpoint = json::value_to<std::string>(*trouble);
      if (const json::value* slowness = object.if_contains("slowness")) {
        message.slowness = slowness->to_number<double>();
      }
      return message;
    }
    message.service = json::value_to<std::string>(object.at("service"));
    message.usage.requests = object.at("requests").to_number<std::uint32_t>();
    message.usage.retries = object.at("repeats").to_number<std::uint32_t>();
    message.revision = object.at("revision").to_number<std::uint64_t>();
    if (object.contains("serves")) {
      message.status = PeerStatus{
          .data_centre = json::value_to<std::string>(object.at("dc")),
          .active_requests = object.at("active").to_number<std::uint32_t>(),
          .serves = object.at("serves").as_bool()};
    }
    if (const json::value* loads = object.if_contains("loads")) {
      for (const json::value& load : loads->as_array()) {
        message.loads.push_back(ToChainLoadReport(load.as_object()));
      }
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

PeerDatagrams::PeerDatagrams(asio::io_context& context,
                             const std::string& address,
                             Receiver receiver)
    : socket_(context, ToEndpoint(address)), receiver_(std::move(receiver)) {
  socket_.non_blocking(true);
}

void PeerDatagrams::Send(const std::vector<std::string>& peers,
                         const PeerMessage& message) {
  const std::string text = message.ToText();
  for (const std::string& peer : peers) {
    try {
      const udp::endpoint to = ToEndpoint(peer);
      boost::system::error_code error;
      if (to != socket_.local_endpoint()) {
        socket_.send_to(asio::buffer(text), to, 0, error);
      }
      if (error) {
        LogEvent(Severity::kDebug, "datagram_not_sent")
            .With("peer", peer)
            .With("reason", error.message());
      }
    } catch (const std::system_error&) {
      LogEvent(Severity::kWarning, "peer_address_malformed").With("peer", peer);
    }
  }
}

std::string PeerDatagrams::address() const {
  const udp::endpoint endpoint = socket_.local_endpoint();
  return impl::ToAddress({endpoint.address(), endpoint.port()});
}

asio::awaitable<void> PeerDatagrams::Run() {
  std::array<char, kMaxDatagramBytes> bytes{};
  for (;;) {
    udp::endpoint from;
    boost::system::error_code error;
    const std::size_t size = co_await socket_.async_receive_from(
        asio::buffer(bytes), from,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      LogEvent(Severity::kDebug, "datagram_not_received")
          .With("reason", error.message());
      co_await Pause(kReceiveRetryDelay);
      continue;
    }
    const auto message = PeerMessage::Parse(std::string(bytes.data(), size));
    if (!message) {
      LogEvent(Severity::kWarning, "datagram_malformed")
          .With("from", from.address().to_string());
      continue;
    }
    receiver_(*message, impl::ToAddress({from.address(), from.port()}));
  }
}

}  // namespace sycamoreford
