// A lease is taken, renewed and handed over while any call of the table fails.
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "fakes/faulty_table.h"
#include "support/run.h"
#include "sycamoreford/lease/lease_client.h"

namespace sycamoreford {
namespace {

using fakes::FakeTable;
using fakes::FaultyTable;
using fakes::TableFault;
using std::chrono::seconds;

struct ManualClock {
  TimePoint now{};
  [[nodiscard]] TimePoint Now() const noexcept { return now; }
};

using Client = LeaseClient<FaultyTable, ManualClock>;

void Step(Client& client, const std::string& write_id) {
  boost::asio::io_context context;
  boost::asio::co_spawn(context, client.Step(write_id),
                        [](const std::exception_ptr& error) {
                          if (error) {
                            std::rethrow_exception(error);
                          }
                        });
  context.run();
}

/// Two daemons that want one lease, over one table.
struct Rivals {
  FakeTable rows;
  FaultyTable table_a{rows};
  FaultyTable table_b{rows};
  ManualClock clock;
  Client a{table_a, clock, LeaseMachine("pool/bell", "a", LeaseTimes{})};
  Client b{table_b, clock, LeaseMachine("pool/bell", "b", LeaseTimes{})};
  int writes = 0;
  FencingToken newest{};

  /// Lets a second pass for both; false when both believe, or a number falls.
  bool Second() {
    clock.now += seconds(1);
    Step(a, "w" + std::to_string(++writes));
    Step(b, "w" + std::to_string(++writes));
    const auto token_a = a.Token();
    const auto token_b = b.Token();
    const FencingToken held = std::max(token_a.value_or(FencingToken(0)),
                                       token_b.value_or(FencingToken(0)));
    const bool rises = held == FencingToken(0) || held >= newest;
    newest = std::max(newest, held);
    return rises && !(token_a && token_b);
  }
};

TEST_CASE("a lease under every failing call") {
  const auto fault =
      GENERATE(TableFault::kUnavailable, TableFault::kEffectAndLostAnswer,
               TableFault::kLateEffect);

  SECTION("each call of the first holder fails in turn") {
    for (std::size_t call = 0; call < 16; ++call) {
      Rivals rivals;
      rivals.table_a.Plan(call, fault);
      for (int second = 0; second < 120; ++second) {
        REQUIRE(rivals.Second());
        if (second == 60) {
          rivals.table_a.ReleaseLate();
        }
      }
      REQUIRE((rivals.a.Token() || rivals.b.Token()));
    }
  }

  SECTION("the holder loses the table and the other takes over") {
    Rivals rivals;
    for (int second = 0; second < 10; ++second) {
      REQUIRE(rivals.Second());
    }
    const bool a_holds = rivals.a.Token().has_value();
    (a_holds ? rivals.table_a : rivals.table_b).SetMode(fault);
    for (int second = 0; second < 60; ++second) {
      REQUIRE(rivals.Second());
    }
    if (fault != TableFault::kEffectAndLostAnswer) {
      REQUIRE((a_holds ? rivals.b : rivals.a).Token().has_value());
    }
  }
}

TEST_CASE("a released lease is taken without waiting for its end") {
  Rivals rivals;
  for (int second = 0; second < 5; ++second) {
    REQUIRE(rivals.Second());
  }
  Client& holder = rivals.a.Token() ? rivals.a : rivals.b;
  Client& other = rivals.a.Token() ? rivals.b : rivals.a;
  boost::asio::io_context context;
  boost::asio::co_spawn(context, holder.Release(),
                        [](const std::exception_ptr&) {});
  context.run();
  REQUIRE_FALSE(holder.Token().has_value());
  for (int second = 0; second < 15; ++second) {
    REQUIRE(rivals.Second());
  }
  REQUIRE(other.Token().has_value());
}

}  // namespace
}  // namespace sycamoreford
