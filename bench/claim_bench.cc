// Group commit of claims: table writes per call and added latency, for several
// call rates and minimum intervals between commits. Each call takes its claim
// and stores its response.
#include <algorithm>
#include <cstdio>
#include <optional>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fakes/faulty_table.h"
#include "sycamoreford/claim/claim_batcher.h"
#include "sycamoreford/claim/claim_store.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using Batcher = ClaimBatcher<fakes::FaultyTable>;

constexpr std::chrono::seconds kRunTime{3};
constexpr std::chrono::minutes kMaxStoreTime{1};

struct BenchState {
  fakes::FakeTable rows;
  fakes::FaultyTable table{rows};
  std::vector<Duration> latencies;
};

asio::awaitable<void> RunCall(BenchState& bench, Batcher& batcher, int index) {
  ClaimStore store(batcher);
  Claim claim;
  claim.write_id = std::to_string(index);
  claim.deadline = std::chrono::system_clock::now();
  ClaimMachine machine("claim/c/" + claim.write_id, claim, kMaxStoreTime);
  const TimePoint start = SteadyClock().Now();
  co_await store.Take(machine);
  (void)machine.OnResponse({200, "application/json", "{}"},
                           SteadyClock().Now());
  (void)co_await store.TryStoreFinalState(machine);
  bench.latencies.push_back(SteadyClock().Now() - start);
}

asio::awaitable<void> RunCalls(BenchState& bench, Batcher& batcher, int rate) {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, SteadyClock().Now());
  const int calls = rate * static_cast<int>(kRunTime.count());
  for (int i = 0; i < calls; ++i) {
    asio::co_spawn(executor, RunCall(bench, batcher, i), asio::detached);
    timer.expires_at(timer.expiry() +
                     std::chrono::microseconds(1'000'000) / rate);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Measure(int rate, std::optional<std::chrono::milliseconds> interval) {
  BenchState bench;
  ClaimBatchLimits limits;
  limits.interval = interval.value_or(std::chrono::milliseconds(0));
  // Without an interval each transaction is committed on its own.
  limits.max_transactions = interval ? limits.max_transactions : 1;
  Batcher batcher(bench.table, limits);
  asio::io_context context;
  asio::co_spawn(context, RunCalls(bench, batcher, rate), asio::detached);
  const TimePoint start = SteadyClock().Now();
  context.run();
  const double seconds =
      std::chrono::duration<double>(SteadyClock().Now() - start).count();
  std::sort(bench.latencies.begin(), bench.latencies.end());
  const auto commits = static_cast<double>(bench.rows.commits());
  std::printf("%9d %11lld %12.3f %13.1f %14.1f %12.1f\n", rate,
              static_cast<long long>(limits.interval.count()),
              commits / static_cast<double>(bench.latencies.size()),
              commits / seconds,
              Milliseconds(bench.latencies[bench.latencies.size() / 2]),
              Milliseconds(bench.latencies[bench.latencies.size() * 99 / 100]));
}

}  // namespace
}  // namespace sycamoreford

int main() {
  std::printf(
      "  calls/s interval_ms  writes/call  writes/s p50_added_ms "
      "p99_added_ms\n");
  for (const int rate : {2, 10, 100, 1000}) {
    sycamoreford::Measure(rate, std::nullopt);
    for (const int interval : {20, 100, 250}) {
      sycamoreford::Measure(rate, std::chrono::milliseconds(interval));
    }
  }
  return 0;
}
