// A daemon keeps its row in the table, whatever happens to the table.
#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/faulty_table.h"
#include "sycamoreford/adapters/roster_service.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::FakeTable;
using fakes::FaultyTable;
using std::chrono::milliseconds;

struct Daemon {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  FakeTable rows;
  FaultyTable table{rows};
  RosterService<FaultyTable, SteadyClock> roster{state, table, clock, "vm-1",
                                                 "10.0.0.1:7340"};

  Daemon() {
    rows.StateEras();
    asio::co_spawn(context, roster.Run(), asio::detached);
  }
  void RunFor(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  [[nodiscard]] bool IsListed() {
    TableRead read;
    read.prefixes.emplace_back(DaemonRoster::kPrefix);
    return rows.Read(read).size() == 1;
  }
};

// Guards against a daemon that others do not know, nor believe, until it renews
// its row.
TEST_CASE("a daemon is listed soon after the table came back from a copy") {
  Daemon daemon;
  const auto copy = daemon.rows.TakeCopy();
  daemon.RunFor(milliseconds(3'000));
  REQUIRE(daemon.IsListed());
  daemon.rows.Restore(copy);
  REQUIRE_FALSE(daemon.IsListed());

  SECTION("that lacks its row") {
    daemon.RunFor(milliseconds(1'000));
    CHECK(daemon.IsListed());
  }
  SECTION("that refuses its first write") {
    daemon.table.PlanFault(daemon.table.calls(),
                           fakes::TableFault::kUnavailable);
    daemon.RunFor(milliseconds(1'000));
    CHECK(daemon.IsListed());
  }
  SECTION("by one write") {
    const std::size_t commits = daemon.rows.commits();
    daemon.RunFor(milliseconds(3'000));
    CHECK(daemon.rows.commits() == commits + 1);
  }
}

}  // namespace
}  // namespace sycamoreford
