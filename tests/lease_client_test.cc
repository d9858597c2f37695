// A lease is acquired, renewed and handed over while table calls fail.
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

/// Two daemons that compete for one lease in one table.
struct TwoDaemons {
  FakeTable rows;
  FaultyTable table_a{rows};
  FaultyTable table_b{rows};
  ManualClock clock;
  Client a{table_a, clock, LeaseMachine("pool/bell", "a", LeaseTimes{})};
  Client b{table_b, clock, LeaseMachine("pool/bell", "b", LeaseTimes{})};
  int writes = 0;
  FencingToken newest_token{};

  /// Advances both daemons by one second.
  ///
  /// \returns false if both hold the lease or the fencing token decreases.
  bool AdvanceOneSecond() {
    clock.now += seconds(1);
    Step(a, "w" + std::to_string(++writes));
    Step(b, "w" + std::to_string(++writes));
    const auto token_a = a.Token();
    const auto token_b = b.Token();
    const FencingToken held = std::max(token_a.value_or(FencingToken(0)),
                                       token_b.value_or(FencingToken(0)));
    const bool rises = held == FencingToken(0) || held >= newest_token;
    newest_token = std::max(newest_token, held);
    return rises && !(token_a && token_b);
  }
};

TEST_CASE("a lease while table calls fail") {
  const auto fault =
      GENERATE(TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
               TableFault::kAppliedLate);

  SECTION("one call of the first holder fails") {
    for (std::size_t call = 0; call < 16; ++call) {
      TwoDaemons daemons;
      daemons.table_a.PlanFault(call, fault);
      for (int second = 0; second < 120; ++second) {
        REQUIRE(daemons.AdvanceOneSecond());
        if (second == 60) {
          daemons.table_a.ApplyLateCommits();
        }
      }
      REQUIRE((daemons.a.Token() || daemons.b.Token()));
    }
  }

  SECTION("all calls of the holder fail and the other daemon takes over") {
    TwoDaemons daemons;
    for (int second = 0; second < 10; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    const bool a_holds = daemons.a.Token().has_value();
    (a_holds ? daemons.table_a : daemons.table_b).SetFault(fault);
    for (int second = 0; second < 60; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    if (fault != TableFault::kAppliedAnswerLost) {
      REQUIRE((a_holds ? daemons.b : daemons.a).Token().has_value());
    }
  }
}

// Guards against a token that is given out twice, and against a holder whose
// renewal meets a version that was given out again.
TEST_CASE("a lease when the table comes back from a copy") {
  TwoDaemons daemons;
  daemons.rows.StateEras();

  SECTION("from before it was first taken") {
    const auto copy = daemons.rows.TakeCopy();
    for (int second = 0; second < 10; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    const FencingToken token = daemons.newest_token;
    REQUIRE(token > FencingToken(0));
    daemons.rows.Restore(copy);
    CHECK_FALSE(daemons.a.Token().has_value());
    CHECK_FALSE(daemons.b.Token().has_value());
    for (int second = 0; second < 60; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    CHECK(daemons.newest_token > token);
  }
  SECTION("from before another daemon took it over") {
    for (int second = 0; second < 10; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    const bool a_holds = daemons.a.Token().has_value();
    const auto copy = daemons.rows.TakeCopy();
    auto& cut_off = a_holds ? daemons.table_a : daemons.table_b;
    cut_off.SetFault(TableFault::kUnavailable);
    for (int second = 0; second < 60; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    const FencingToken token = daemons.newest_token;
    REQUIRE((a_holds ? daemons.b : daemons.a).Token() == token);
    cut_off.SetFault(TableFault::kNone);
    daemons.rows.Restore(copy);
    for (int second = 0; second < 60; ++second) {
      REQUIRE(daemons.AdvanceOneSecond());
    }
    CHECK(daemons.newest_token > token);
    CHECK((daemons.a.Token() || daemons.b.Token()));
  }
  SECTION("at any moment, from a copy of any age") {
    for (int moment = 1; moment < 40; ++moment) {
      TwoDaemons pair;
      pair.rows.StateEras();
      FakeTable::Copy copy = pair.rows.TakeCopy();
      for (int second = 0; second < 120; ++second) {
        const FencingToken before = pair.newest_token;
        if (second == moment / 2) {
          copy = pair.rows.TakeCopy();
        }
        if (second == moment) {
          pair.rows.Restore(copy);
          CHECK_FALSE((pair.a.Token() || pair.b.Token()));
        }
        REQUIRE(pair.AdvanceOneSecond());
        REQUIRE(pair.newest_token >= before);
      }
      REQUIRE((pair.a.Token() || pair.b.Token()));
    }
  }
}

TEST_CASE("a released lease is acquired without waiting for its expiry") {
  TwoDaemons daemons;
  for (int second = 0; second < 5; ++second) {
    REQUIRE(daemons.AdvanceOneSecond());
  }
  Client& holder = daemons.a.Token() ? daemons.a : daemons.b;
  Client& other = daemons.a.Token() ? daemons.b : daemons.a;
  boost::asio::io_context context;
  boost::asio::co_spawn(context, holder.Release(),
                        [](const std::exception_ptr&) {});
  context.run();
  REQUIRE_FALSE(holder.Token().has_value());
  for (int second = 0; second < 15; ++second) {
    REQUIRE(daemons.AdvanceOneSecond());
  }
  REQUIRE(other.Token().has_value());
}

}  // namespace
}  // namespace sycamoreford
