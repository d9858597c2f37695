// Datagrams from hosts that are not in the roster of daemons.
#include <chrono>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "fakes/fake_table.h"
#include "impl/parse_address.h"
#include "support/peer_relay.h"

namespace sycamoreford {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using support::PeerRelay;

std::shared_ptr<const Manifest> Configuration() {
  RelayService plain;
  plain.name = "plain";
  return Manifest::Builder(1).AddService(plain).Build();
}

TEST_CASE("a daemon believes only daemons that are in the roster") {
  boost::asio::io_context context{1};
  fakes::FakeTable rows;
  PeerRelay relay(context, rows, 1, "dc-0", Configuration());
  const auto run_for = [&](milliseconds time) {
    context.restart();
    context.run_for(time);
  };
  run_for(milliseconds(200));
  udp::socket sender(context, {boost::asio::ip::make_address("127.0.0.9"), 0});
  const auto address = impl::ParseAddress(relay.address);
  const auto send = [&](const PeerMessage& message) {
    sender.send_to(boost::asio::buffer(message.ToText()),
                   {address.address(), address.port()});
    run_for(milliseconds(100));
  };
  PeerMessage message;

  SECTION("that they serve requests") {
    message.service = "plain";
    message.status =
        PeerStatus{.data_centre = "dc-0", .active_requests = 0, .serves = true};
    send(message);
    CHECK_FALSE(relay.state.peers().Pick("plain", {}, relay.clock.Now()));
  }
  SECTION("that a request crashes endpoints") {
    const RequestTrait trait = RequestFingerprint(7);
    message.trait.emplace();
    message.trait->trait = trait;
    for (std::uint32_t run = 1; run <= 3; ++run) {
      message.trait->crashes.push_back({EndpointRun(run), milliseconds(run)});
    }
    send(message);
    CHECK_FALSE(relay.state.quarantine().IsQuarantined({trait}));
  }
  SECTION("that an endpoint states a limit") {
    message.limits.push_back({.endpoint = "e", .per_second = 0});
    send(message);
    CHECK(relay.state.limits().count() == 0);
  }
  SECTION("that an endpoint is leaving") {
    message.leaving.push_back({"e", 1});
    send(message);
    CHECK(relay.state.directory().leaving().size() == 0);
  }
  SECTION("that an endpoint is slow") {
    EndpointRecord record;
    record.id = "e";
    relay.state.directory().Upsert(record);
    message.endpoint = "e";
    message.slowness = 9;
    send(message);
    CHECK(relay.state.directory().Find("e")->slowness == 1);
  }
}

TEST_CASE("a daemon answers only daemons that are in the roster") {
  boost::asio::io_context context{1};
  fakes::FakeTable rows;
  PeerRelay relay(context, rows, 1, "dc-0", Configuration());
  context.run_for(milliseconds(200));
  relay.state.OnStatedLimit("e", 1, relay.clock.Now(), relay.clock.Now());
  udp::socket stranger(context,
                       {boost::asio::ip::make_address("127.0.0.9"), 0});
  const auto address = impl::ParseAddress(relay.address);
  PeerMessage question;
  question.asks = true;
  for (int i = 0; i < 100; ++i) {
    stranger.send_to(boost::asio::buffer(question.ToText()),
                     {address.address(), address.port()});
    context.restart();
    context.run_for(milliseconds(20));
  }
  CHECK(stranger.available() == 0);
  CHECK(relay.state.daemon_count() == 1);
}

TEST_CASE("a daemon that has just started is believed within a second") {
  boost::asio::io_context context{1};
  fakes::FakeTable rows;
  PeerRelay relay(context, rows, 1, "dc-0", Configuration());
  context.run_for(milliseconds(2'500));
  PeerRelay other(context, rows, 1, "dc-0", Configuration());
  other.TakeForwardedRequests();
  EndpointRecord record;
  record.id = "e";
  record.service = "plain";
  other.state.directory().Upsert(record);
  (void)other.state.RetryBudgetFor("plain");
  context.restart();
  context.run_for(milliseconds(1'500));
  CHECK(relay.state.peers().Pick("plain", {}, relay.clock.Now()) ==
        other.address);
}

TEST_CASE("a daemon that has just started asks what the others know") {
  boost::asio::io_context context{1};
  fakes::FakeTable rows;
  PeerRelay relay(context, rows, 1, "dc-0", Configuration());
  context.run_for(milliseconds(200));
  const RequestTrait trait = RequestFingerprint(7);
  for (std::uint32_t run = 1; run <= 3; ++run) {
    relay.state.quarantine().OnCrash({trait}, "e", EndpointRun(run),
                                     relay.clock.Now());
  }
  relay.state.leaving().OnStated({"e", 1}, LeavingSource::kReport);
  relay.state.OnStatedLimit("e", 1, relay.clock.Now(), relay.clock.Now());
  // News are told repeatedly for some seconds.
  context.restart();
  context.run_for(std::chrono::seconds(6));

  PeerRelay other(context, rows, 1, "dc-0", Configuration());
  context.restart();
  context.run_for(milliseconds(1'000));
  CHECK(other.state.quarantine().IsQuarantined({trait}));
  CHECK(other.state.directory().leaving().Contains({"e", 1}));
  CHECK(other.state.limits().count() == 1);
}

}  // namespace
}  // namespace sycamoreford
