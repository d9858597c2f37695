// Hundreds of daemons before one endpoint that refuses, dies, or returns: how
// often it is inspected, and when all know. Messages pass in memory.
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "sycamoreford/adapters/endpoint_inspector.h"
#include "sycamoreford/adapters/pause.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

/// The endpoint, as one daemon reaches it.
struct Control {
  boost::asio::awaitable<Result<EndpointReport>> FetchReport(
      const std::string&) {
    ++*inspections;
    if (!*is_alive || is_cut_off) {
      co_await Pause(milliseconds(100));
      co_return Failure{.code = Errc::kStalled, .where = "silent"};
    }
    co_await Pause(milliseconds(2));
    EndpointReport report;
    report.started_at_ms = 1;
    report.layers = {0, 40};
    co_return report;
  }
  static boost::asio::awaitable<Result<OrderReply>> SendOrder(
      const std::string&,
      const LayerOrder&) {
    co_return OrderReply{};
  }

  int* inspections;
  const bool* is_alive;
  bool is_cut_off = false;
};

struct TestDaemon {
  explicit TestDaemon(Control shared) : control(shared) {}
  RelayState state{"north", RetryLimits{.ratio = 0.2, .extra = 100}};
  Control control;
  SteadyClock clock;
  EndpointInspector<Control, SteadyClock> inspector{state, control, clock};
};

class TestFleet {
 public:
  explicit TestFleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      addresses_.push_back("10.0.0.1:" + std::to_string(1'000 + i));
    }
    for (std::size_t i = 0; i < count; ++i) {
      Add(i);
    }
    RunFor(milliseconds(60));
  }

  void RunFor(milliseconds time) { context_.run_for(time); }

  TestDaemon& operator[](std::size_t i) { return *daemons_[i]; }
  [[nodiscard]] std::size_t size() const { return daemons_.size(); }

  /// The daemon sends and receives nothing any more.
  void Silence(std::size_t i) { silent_.insert(addresses_[i]); }

  [[nodiscard]] std::vector<std::size_t> Inspectors() {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < size(); ++i) {
      if (daemons_[i]->state.duty().IsOwn("m1")) {
        found.push_back(i);
      }
    }
    return found;
  }
  [[nodiscard]] std::size_t FirstOther() {
    const auto inspectors = Inspectors();
    std::size_t i = 0;
    while (std::count(inspectors.begin(), inspectors.end(), i) > 0) {
      ++i;
    }
    return i;
  }

  /// Daemons that use the endpoint.
  [[nodiscard]] std::size_t Users() {
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [](const auto& it) {
          return it->state.directory().Find("m1")->IsUsable(it->clock.Now());
        }));
  }

  int inspections = 0;
  bool is_alive = true;

 private:
  void Add(std::size_t i) {
    daemons_.push_back(std::make_unique<TestDaemon>(
        Control{.inspections = &inspections, .is_alive = &is_alive}));
    TestDaemon& daemon = *daemons_.back();
    EndpointRecord record;
    record.id = "m1";
    record.service = "model";
    record.kind = "whole";
    record.started_at_ms = 1;
    record.layers = {0, 40};
    daemon.state.directory().Upsert(record);
    daemon.state.SetDaemons(static_cast<std::uint32_t>(addresses_.size()), i);
    daemon.state.duty().SetDaemons(addresses_, addresses_[i]);
    const auto ask = [this, i](const auto& to, const std::string& id) {
      Send(i, to, [id](TestDaemon& it, const std::string& from) {
        it.inspector.OnAsked(id, from);
      });
    };
    daemon.inspector.SetAsker(ask);
    daemon.inspector.SetTeller([this, i](const auto& to, const auto& finding) {
      Send(i, to.empty() ? addresses_ : to,
           [finding](TestDaemon& it, const std::string& from) {
             it.inspector.OnTold(finding, from);
           });
    });
    daemon.state.SetPeerNotifier(
        [this, i, ask](const std::string& id, std::optional<double> slowness) {
          const DaemonDuty& duty = daemons_[i]->state.duty();
          if (!slowness) {
            ask(duty.IsShared() ? duty.Others(id) : addresses_, id);
          }
        });
    boost::asio::co_spawn(context_, daemon.inspector.Watch(),
                          boost::asio::detached);
  }

  using Action = std::function<void(TestDaemon&, const std::string& from)>;

  void Send(std::size_t from,
            const std::vector<std::string>& to,
            const Action& action) {
    for (const std::string& address : to) {
      if (address == addresses_[from] || silent_.contains(address) ||
          silent_.contains(addresses_[from])) {
        continue;
      }
      const auto index = static_cast<std::size_t>(
          std::find(addresses_.begin(), addresses_.end(), address) -
          addresses_.begin());
      boost::asio::post(context_, [this, index, from, action] {
        action(*daemons_[index], addresses_[from]);
      });
    }
  }

  std::vector<std::string> addresses_;
  std::set<std::string> silent_;
  std::vector<std::unique_ptr<TestDaemon>> daemons_;
  boost::asio::io_context context_{1};
};

TEST_CASE("an endpoint that refuses requests of all daemons") {
  const auto count = GENERATE(69U, 195U, 390U);
  CAPTURE(count);
  TestFleet fleet(count);
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet[i].state.OnEndpointFault("m1", fleet[i].clock.Now());
    }
    fleet.RunFor(milliseconds(100));
  }
  // Two seconds: three daemons, at most ten times a second each.
  CHECK(fleet.inspections <= 2 * 3 * 10 + 6);
  CHECK(fleet.inspections > 0);
  SECTION("is used again soon") {
    fleet.RunFor(milliseconds(400));
    CHECK(fleet.Users() == fleet.size());
  }
}

TEST_CASE("an endpoint that dies") {
  const auto count = GENERATE(9U, 69U, 195U, 390U);
  CAPTURE(count);
  TestFleet fleet(count);
  fleet.is_alive = false;
  const std::size_t finder = count > 9 ? fleet.FirstOther() : 0;
  fleet[finder].state.OnEndpointSuspected("m1", "no_connection",
                                          fleet[finder].clock.Now());
  fleet.RunFor(milliseconds(400));
  SECTION("is known to all") {
    CHECK(fleet.Users() == 0);
  }
  SECTION("is inspected by few, and not used meanwhile") {
    fleet.inspections = 0;
    for (int i = 0; i < 40; ++i) {
      fleet.RunFor(milliseconds(100));
      CHECK(fleet.Users() == 0);
    }
    // Four seconds with at most two inspections a second by each of three, or
    // of few daemons by each, and by the one that could not reach it.
    const std::size_t inspectors = count > 9 ? 4 : count;
    CHECK(static_cast<std::size_t>(fleet.inspections) <= 8 * inspectors);
  }
  SECTION("and returns is used by all again") {
    fleet.RunFor(milliseconds(1'000));
    fleet.is_alive = true;
    // The longest suspicion.
    fleet.RunFor(milliseconds(4'500));
    CHECK(fleet.Users() == fleet.size());
  }
}

TEST_CASE("an endpoint that dies while those who inspect it are lost") {
  TestFleet fleet(69);
  const std::size_t finder = fleet.FirstOther();
  const auto inspectors = fleet.Inspectors();
  const std::size_t lost = GENERATE(1U, 2U, 3U);
  CAPTURE(lost);
  for (std::size_t i = 0; i < lost; ++i) {
    fleet.Silence(inspectors[i]);
  }
  fleet.is_alive = false;
  fleet[finder].state.OnEndpointFault("m1", fleet[finder].clock.Now());
  fleet.RunFor(milliseconds(900));
  CHECK_FALSE(fleet[finder].state.directory().Find("m1")->IsUsable(
      fleet[finder].clock.Now()));
  if (lost < 3) {
    // The lost ones do not matter.
    CHECK(fleet.Users() <= lost);
  }
}

TEST_CASE("a daemon that alone cannot reach an endpoint") {
  TestFleet fleet(69);
  SECTION("does not take it from the others, if it inspects it for them") {
    const std::size_t wrong = fleet.Inspectors().front();
    fleet[wrong].control.is_cut_off = true;
    fleet.inspections = 0;
    for (int i = 0; i < 30; ++i) {
      fleet[wrong].state.OnEndpointFault("m1", fleet[wrong].clock.Now());
      fleet.RunFor(milliseconds(100));
      CHECK(fleet.Users() >= fleet.size() - 1);
    }
    CHECK(fleet.inspections <= 3 * 3 * 10);
  }
  SECTION("does not use it, whatever the others say") {
    const std::size_t cut_off = fleet.FirstOther();
    TestDaemon& daemon = fleet[cut_off];
    daemon.control.is_cut_off = true;
    daemon.state.OnUnreachable("m1", daemon.clock.Now());
    daemon.state.OnEndpointSuspected("m1", "no_connection", daemon.clock.Now());
    for (int i = 0; i < 20; ++i) {
      fleet.RunFor(milliseconds(100));
      CHECK_FALSE(
          daemon.state.directory().Find("m1")->IsUsable(daemon.clock.Now()));
    }
    CHECK(fleet.Users() == fleet.size() - 1);
  }
}

}  // namespace
}  // namespace sycamoreford
