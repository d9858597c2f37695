// Tests of admission control: limits of customers and pools, ranks, fair
// sharing, early refusals, tickets of cancelled requests, and API keys.
#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <thread>

#include <rapidcheck.h>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "support/run.h"
#include "sycamoreford/adapters/admission_gate.h"
#include "sycamoreford/admission/admission_controller.h"
#include "sycamoreford/admission/customer_keys.h"
#include "sycamoreford/admission/local_share.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPool = "pool";

AdmissionRequest MakeRequest(const std::string& customer,
                             TimePoint now,
                             std::uint32_t concurrency = 2) {
  AdmissionRequest request;
  request.pool = kPool;
  request.concurrency_share = concurrency;
  request.max_concurrency = concurrency;
  request.initial_concurrency = concurrency;
  request.customer = CustomerId(customer);
  request.policy.max_wait = seconds(5);
  request.deadline = now + seconds(60);
  return request;
}

/// Expected state of the requests in an `AdmissionController`.
struct Oracle {
  struct Item {
    CustomerId customer;
    std::uint32_t rank = 0;
    TimePoint expires{};
  };

  /// Checks decisions and applies them to the expected state.
  void Apply(const std::vector<AdmissionDecision>& decisions, TimePoint now) {
    for (const AdmissionDecision& decision : decisions) {
      const auto found = waiting.find(decision.id);
      RC_ASSERT(found != waiting.end());
      if (decision.refusal) {
        RC_ASSERT(decision.refusal->outcome == Outcome::kNotRun);
        RC_ASSERT(decision.refusal->retry_after.has_value());
        RC_ASSERT(found->second.expires <= now);
      } else {
        RC_ASSERT(found->second.expires > now);
        running.insert(*found);
      }
      waiting.erase(found);
    }
  }

  [[nodiscard]] std::size_t CountOf(const CustomerId& customer) const {
    const auto belongs_to_customer = [&](const auto& item) {
      return item.second.customer == customer;
    };
    return std::count_if(waiting.begin(), waiting.end(), belongs_to_customer) +
           std::count_if(running.begin(), running.end(), belongs_to_customer);
  }

  std::map<AdmissionId, Item> waiting;
  std::map<AdmissionId, Item> running;
};

TEST_CASE("requests are admitted") {
  AdmissionController admission(1);
  TimePoint now{seconds(100)};
  const auto start = [&](const AdmissionRequest& request) {
    const auto id = admission.Submit(request, now);
    REQUIRE(id.has_value());
    return std::pair(*id, admission.Dispatch(now));
  };

  SECTION("immediately up to the limit, then as others end") {
    const auto [first, decided] = start(MakeRequest("a", now));
    REQUIRE(decided.size() == 1);
    start(MakeRequest("a", now));
    const auto [third, none] = start(MakeRequest("a", now));
    REQUIRE(none.empty());
    now += seconds(1);
    admission.End(first, CompletionStatus::kServed, now);
    const auto next = admission.Dispatch(now);
    REQUIRE(next.size() == 1);
    REQUIRE(next.front().id == third);
    REQUIRE_FALSE(next.front().refusal);

    SECTION("requests that cannot be served in time are refused") {
      AdmissionRequest urgent = MakeRequest("b", now);
      urgent.deadline = now + milliseconds(100);
      const auto late = admission.Submit(urgent, now);
      REQUIRE_FALSE(late.has_value());
      REQUIRE(late.error().code == Errc::kDeadlineExceeded);
      REQUIRE(late.error().outcome == Outcome::kNotRun);
      REQUIRE(late.error().retry_after.has_value());
      urgent.deadline = now + seconds(60);
      urgent.policy.max_wait = milliseconds(100);
      const auto full = admission.Submit(urgent, now);
      REQUIRE(full.error().code == Errc::kOverloaded);
      REQUIRE(full.error().retry_after.has_value());
    }

    SECTION("retry-after times are jittered") {
      AdmissionRequest urgent = MakeRequest("b", now);
      urgent.policy.max_wait = milliseconds(100);
      std::set<milliseconds> times;
      for (int i = 0; i < 20; ++i) {
        times.insert(*admission.Submit(urgent, now).error().retry_after);
      }
      REQUIRE(times.size() > 10);
    }

    SECTION("requests whose waiting time expires are refused") {
      start(MakeRequest("b", now));
      now += seconds(5);
      const auto over = admission.Dispatch(now);
      REQUIRE(over.size() == 1);
      REQUIRE(over.front().refusal->code == Errc::kOverloaded);
    }
  }

  SECTION("in order of rank") {
    start(MakeRequest("a", now, 1));
    AdmissionRequest later = MakeRequest("a", now, 1);
    later.policy.rank = 5;
    const AdmissionId low = start(later).first;
    const AdmissionId high = start(MakeRequest("b", now, 1)).first;
    admission.End(AdmissionId(1), CompletionStatus::kServed, now);
    REQUIRE(admission.Dispatch(now).front().id == high);
    admission.End(high, CompletionStatus::kServed, now);
    REQUIRE(admission.Dispatch(now).front().id == low);
  }

  SECTION("within the customer's rate") {
    AdmissionRequest request = MakeRequest("a", now, 100);
    request.policy.max_requests_per_second = 3;
    for (int i = 0; i < 3; ++i) {
      REQUIRE(admission.Submit(request, now).has_value());
    }
    const auto over = admission.Submit(request, now);
    REQUIRE(over.error().code == Errc::kLimitExceeded);
    now += milliseconds(350);
    REQUIRE(admission.Submit(request, now).has_value());
  }

  SECTION("beyond the share until endpoints refuse") {
    ConcurrencyLimit limit;
    limit.Configure(10, 10, 20, 0.01);
    for (int i = 0; i < 1'000; ++i) {
      limit.OnServed(true, 0.015, seconds(1), now);
    }
    REQUIRE(limit.value() == 20);
    limit.OnRefused(seconds(1), now);
    limit.OnRefused(seconds(1), now);
    REQUIRE(limit.value() == 18);

    SECTION("the limit decreases when units take longer") {
      for (int i = 0; i < 10; ++i) {
        now += seconds(2);
        limit.OnServed(true, 0.2, seconds(1), now);
      }
      REQUIRE(limit.value() < 10);
      REQUIRE(limit.value() >= 2);
    }

    SECTION("the limit stays at a quarter of the share or more") {
      for (int i = 0; i < 100; ++i) {
        now += seconds(2);
        limit.OnRefused(seconds(1), now);
      }
      REQUIRE(limit.value() == 2);
    }
  }
}

TEST_CASE("admission keeps its invariants in any order of events") {
  const bool holds = rc::check([] {
    AdmissionController admission(7);
    Oracle oracle;
    TimePoint now{seconds(100)};
    const auto concurrency = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto max_in_flight = *rc::gen::inRange<std::uint32_t>(1, 6);
    std::map<CustomerId, std::deque<TimePoint>> accepted;
    constexpr int kRate = 4;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'000)));
    for (const auto& [action, number] : steps) {
      if (action < 4) {
        AdmissionRequest request =
            MakeRequest("c" + std::to_string(number % 4), now, concurrency);
        request.max_concurrency = 2 * concurrency;
        request.policy.rank = static_cast<std::uint32_t>(number % 2);
        request.policy.weight = 1 + number % 3;
        request.policy.max_in_flight = max_in_flight;
        request.policy.max_requests_per_second = number % 4 == 0 ? kRate : 0;
        request.policy.max_wait = milliseconds(number);
        request.deadline = now + milliseconds(number * 7 % 2'000);
        const auto id = admission.Submit(request, now);
        if (id) {
          RC_ASSERT(oracle.CountOf(request.customer) < max_in_flight);
          oracle.waiting[*id] = {
              request.customer, request.policy.rank,
              std::min(request.deadline, now + request.policy.max_wait)};
          if (request.policy.max_requests_per_second > 0) {
            auto& times = accepted[request.customer];
            times.push_back(now);
            // The token bucket holds the requests of one second, so no interval
            // of one second contains more than twice the rate.
            RC_ASSERT(std::count_if(times.begin(), times.end(), [&](auto time) {
                        return time > now - seconds(1);
                      }) <= 2 * kRate);
          }
        } else {
          RC_ASSERT(id.error().outcome == Outcome::kNotRun);
          RC_ASSERT(id.error().code == Errc::kLimitExceeded ||
                    id.error().code == Errc::kOverloaded ||
                    id.error().code == Errc::kDeadlineExceeded);
        }
      } else if (action < 6 && !oracle.running.empty()) {
        const auto ended =
            std::next(oracle.running.begin(),
                      number % static_cast<int>(oracle.running.size()));
        admission.End(ended->first,
                      number % 5 == 0 ? CompletionStatus::kRefused
                                      : CompletionStatus::kServed,
                      now);
        oracle.running.erase(ended);
      } else if (action == 6 && !oracle.waiting.empty()) {
        const auto cancelled =
            std::next(oracle.waiting.begin(),
                      number % static_cast<int>(oracle.waiting.size()));
        admission.End(cancelled->first, CompletionStatus::kServed, now);
        oracle.waiting.erase(cancelled);
      } else {
        now += milliseconds(number);
      }
      const auto decisions = admission.Dispatch(now);
      oracle.Apply(decisions, now);
      RC_ASSERT(admission.waiting(kPool) == oracle.waiting.size());
      RC_ASSERT(admission.running(kPool) == oracle.running.size());
      RC_ASSERT(oracle.running.size() <= 2 * concurrency);
      // No slot is free while a request waits.
      RC_ASSERT(oracle.waiting.empty() ||
                oracle.running.size() >= admission.concurrency_limit(kPool));
      for (const auto& [id, item] : oracle.waiting) {
        RC_ASSERT(item.expires > now);
        for (const AdmissionDecision& decision : decisions) {
          if (!decision.refusal) {
            RC_ASSERT(oracle.running.at(decision.id).rank <= item.rank);
          }
        }
      }
    }
    while (!oracle.running.empty() || !oracle.waiting.empty()) {
      auto& left = oracle.running.empty() ? oracle.waiting : oracle.running;
      admission.End(left.begin()->first, CompletionStatus::kServed, now);
      left.erase(left.begin());
      oracle.Apply(admission.Dispatch(now), now);
    }
    RC_ASSERT(admission.waiting(kPool) == 0U);
    RC_ASSERT(admission.running(kPool) == 0U);
    now += std::chrono::minutes(20);
    (void)admission.Submit(MakeRequest("last", now), now);
    RC_ASSERT(admission.customers() == 1U);
  });
  REQUIRE(holds);
}

/// Total service time of each customer, with the given number of requests in
/// flight and weight, on a pool that is overloaded.
std::map<std::string, double> ServiceTimes(
    const std::map<std::string, std::pair<int, double>>& demand_and_weight) {
  AdmissionController admission(3);
  TimePoint now{seconds(100)};
  std::map<AdmissionId, std::string> customer_of;
  std::map<AdmissionId, TimePoint> end_times;
  std::map<std::string, int> outstanding;
  std::map<std::string, double> service_times;
  std::uint64_t random = 1;
  constexpr std::uint32_t kConcurrency = 10;
  constexpr int kTicks = 20'000;
  for (int tick = 0; tick < kTicks; ++tick) {
    now += milliseconds(10);
    for (auto end = end_times.begin(); end != end_times.end();) {
      if (end->second > now) {
        ++end;
        continue;
      }
      --outstanding[customer_of.at(end->first)];
      admission.End(end->first, CompletionStatus::kServed, now);
      end = end_times.erase(end);
    }
    for (const auto& [customer, demand] : demand_and_weight) {
      while (outstanding[customer] < demand.first) {
        AdmissionRequest request = MakeRequest(customer, now, kConcurrency);
        request.policy.weight = demand.second;
        const auto id = admission.Submit(request, now);
        if (!id) {
          break;
        }
        customer_of[*id] = customer;
        ++outstanding[customer];
      }
    }
    for (const AdmissionDecision& decision : admission.Dispatch(now)) {
      const std::string& customer = customer_of.at(decision.id);
      if (decision.refusal) {
        --outstanding[customer];
        continue;
      }
      random = random * 6364136223846793005U + 1;
      const milliseconds length(200 + (random >> 33U) % 1'000);
      end_times[decision.id] = now + length;
      service_times[customer] += std::chrono::duration<double>(length).count();
    }
  }
  return service_times;
}

TEST_CASE("customers share a pool") {
  SECTION("one large customer does not starve nine small ones") {
    std::map<std::string, std::pair<int, double>> customers = {
        {"large", {200, 1}}};
    for (int i = 0; i < 9; ++i) {
      customers["small" + std::to_string(i)] = {3, 1};
    }
    const auto service_times = ServiceTimes(customers);
    const double large_time = service_times.at("large");
    for (const auto& [customer, time] : service_times) {
      REQUIRE(time > 0.85 * large_time);
      REQUIRE(time < 1.15 * large_time);
    }
  }

  SECTION("by weight") {
    const auto service_times =
        ServiceTimes({{"double", {60, 2}}, {"single", {60, 1}}});
    REQUIRE(service_times.at("double") / service_times.at("single") > 1.8);
    REQUIRE(service_times.at("double") / service_times.at("single") < 2.2);
  }

  SECTION("capacity that a customer does not use goes to others") {
    const auto service_times =
        ServiceTimes({{"idle", {1, 1}}, {"busy", {60, 1}}});
    REQUIRE(service_times.at("busy") > 7 * service_times.at("idle"));
  }
}

TEST_CASE("the shares of all daemons add up to a customer's limit") {
  const bool holds = rc::check([] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 500);
    const bool knows_demand = *rc::gen::arbitrary<bool>();
    std::vector<double> demand(count, 0);
    double total_demand = 0;
    for (double& daemon_demand : demand) {
      daemon_demand = *rc::gen::inRange(0, 100);
      total_demand += daemon_demand;
    }
    std::uint32_t counts = 0;
    double rates = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::optional<double> demand_fraction =
          knows_demand && total_demand > 0
              ? std::optional(demand[i] / total_demand)
              : std::nullopt;
      const std::uint32_t own_count =
          LocalCount(limit, {i, count}, demand_fraction);
      RC_ASSERT((own_count == 0) == (limit == 0));
      counts += own_count;
      rates += LocalShare(limit, {i, count}, demand_fraction);
    }
    // May exceed the limit only by the minimum of one request per daemon.
    RC_ASSERT(counts <= std::max(limit, limit == 0 ? 0 : limit + count));
    RC_ASSERT(limit < count || knows_demand || counts == limit);
    RC_ASSERT(rates <= limit + 1e-6);
    RC_ASSERT(rates >= limit - 1e-6);
  });
  REQUIRE(holds);
}

asio::awaitable<void> Sleep(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

TEST_CASE("a gate releases all slots on several threads with cancellation") {
  AdmissionGate gate;
  asio::io_context context;
  std::atomic<int> running{0};
  std::atomic<int> max_running{0};
  std::atomic<int> ended{0};
  const auto run_request = [&]() -> asio::awaitable<void> {
    AdmissionRequest request =
        MakeRequest("a", std::chrono::steady_clock::now(), 4);
    auto ticket = co_await gate.Enter(request);
    if (ticket) {
      max_running = std::max(max_running.load(), ++running);
      // Decrements also when the coroutine is cancelled while it sleeps.
      const std::shared_ptr<void> leave(nullptr, [&](void*) { --running; });
      co_await Sleep(milliseconds(2));
    }
  };
  constexpr int kRequests = 300;
  std::deque<asio::cancellation_signal> signals(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    const auto strand = asio::make_strand(context);
    asio::co_spawn(
        strand, run_request(),
        asio::bind_cancellation_slot(
            signals[static_cast<std::size_t>(i)].slot(),
            asio::bind_executor(strand,
                                [&](const std::exception_ptr&) { ++ended; })));
    if (i % 3 == 0) {
      asio::post(strand, [&signal = signals[static_cast<std::size_t>(i)]] {
        signal.emit(asio::cancellation_type::terminal);
      });
    }
  }
  constexpr int kThreads = 3;
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] { context.run(); });
  }
  threads.clear();
  REQUIRE(ended == kRequests);
  REQUIRE(max_running <= 4);
  REQUIRE(gate.running(kPool) == 0);
  REQUIRE(gate.waiting(kPool) == 0);
}

v1::Snapshot SnapshotOf(const std::vector<std::string>& keys) {
  v1::Change change;
  change.set_revision(1);
  const auto add = [&](v1::Kind kind) {
    v1::Edit* edit = change.add_edits();
    edit->set_verb(v1::Edit::VERB_CREATE);
    edit->set_kind(kind);
    return edit->mutable_resource();
  };
  v1::Resource* priority = add(v1::KIND_PRIORITY);
  priority->set_name("usual");
  priority->mutable_priority();
  for (std::size_t i = 0; i < keys.size(); ++i) {
    v1::Resource* resource = add(v1::KIND_CUSTOMER);
    resource->set_name("c" + std::to_string(i));
    v1::Customer* customer = resource->mutable_customer();
    customer->set_priority("usual");
    customer->set_key_salt("salt" + std::to_string(i));
    customer->set_key_sha256(HashSecret(customer->key_salt(), keys[i]));
  }
  return Configuration().Apply(change)->ToSnapshot();
}

TEST_CASE("a customer is found by its API key") {
  const auto config = std::make_shared<const Configuration>(
      *Configuration::FromSnapshot(SnapshotOf({"k0", "k1", "k2"})));
  const auto updated = std::make_shared<const Configuration>(
      *Configuration::FromSnapshot(SnapshotOf({"new", "k0"})));
  CustomerKeys keys;
  for (int repeat = 0; repeat < 2; ++repeat) {
    REQUIRE(keys.Find(config, "k1")->name() == "c1");
    REQUIRE(keys.Find(config, "k0")->name() == "c0");
    REQUIRE(keys.Find(config, "other") == nullptr);
  }
  REQUIRE(keys.Find(config, "new") == nullptr);
  REQUIRE(keys.Find(updated, "new")->name() == "c0");
  REQUIRE(keys.Find(updated, "k0")->name() == "c1");
  REQUIRE(keys.Find(updated, "k1") == nullptr);
  REQUIRE(keys.Find(config, "k1")->name() == "c1");
}

}  // namespace
}  // namespace sycamoreford
