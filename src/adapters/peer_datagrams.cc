#include "sycamoreford/adapters/peer_datagrams.h"

#include <charconv>
#include <stdexcept>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "impl/parse_address.h"
#include "impl/peer_json.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;
using impl::ToChainLoadReport;
using impl::ToEndpointFinding;
using impl::ToJson;
using impl::ToLeavingRun;
using impl::ToLimitReport;
using impl::ToStoreNews;
using impl::ToTraitReport;

namespace {

/// Delay after a failed receive.
constexpr std::chrono::milliseconds kReceiveRetryDelay{100};

udp::endpoint ToEndpoint(const std::string& address) {
  const auto endpoint = impl::ParseAddress(address);
  return {endpoint.address(), endpoint.port()};
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
