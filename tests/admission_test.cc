// Which requests may run, and when: limits, places, priorities, fair shares,
// early refusals, and tickets that never leak.
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
#include "sycamoreford/admission/admission.h"
#include "sycamoreford/admission/customer_keys.h"
#include "sycamoreford/admission/local_share.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kPool = "pool";

AdmissionRequest Ask(const std::string& customer,
                     TimePoint now,
                     std::uint32_t places = 2) {
  AdmissionRequest request;
  request.pool = kPool;
  request.places = places;
  request.most_places = places;
  request.first_places = places;
  request.customer = CustomerId(customer);
  request.terms.max_wait = seconds(5);
  request.deadline = now + seconds(60);
  return request;
}

/// Requests in an `Admission`, as an oracle keeps them.
struct Book {
  struct Item {
    CustomerId customer;
    std::uint32_t rank = 0;
    TimePoint expires{};
  };

  /// Checks decisions and enters them.
  void Take(const std::vector<AdmissionDecision>& decisions, TimePoint now) {
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
    const auto is_its = [&](const auto& item) {
      return item.second.customer == customer;
    };
    return std::count_if(waiting.begin(), waiting.end(), is_its) +
           std::count_if(running.begin(), running.end(), is_its);
  }

  std::map<AdmissionId, Item> waiting;
  std::map<AdmissionId, Item> running;
};

TEST_CASE("requests are admitted") {
  Admission admission(1);
  TimePoint now{seconds(100)};
  const auto start = [&](const AdmissionRequest& request) {
    const auto id = admission.Offer(request, now);
    REQUIRE(id.has_value());
    return std::pair(*id, admission.Advance(now));
  };

  SECTION("at once while there are places, then one for one") {
    const auto [first, decided] = start(Ask("a", now));
    REQUIRE(decided.size() == 1);
    start(Ask("a", now));
    const auto [third, none] = start(Ask("a", now));
    REQUIRE(none.empty());
    now += seconds(1);
    admission.End(first, AdmissionEnd::kServed, now);
    const auto next = admission.Advance(now);
    REQUIRE(next.size() == 1);
    REQUIRE(next.front().id == third);
    REQUIRE_FALSE(next.front().refusal);

    SECTION("what can not be served in time is refused at once") {
      AdmissionRequest hasty = Ask("b", now);
      hasty.deadline = now + milliseconds(100);
      const auto late = admission.Offer(hasty, now);
      REQUIRE_FALSE(late.has_value());
      REQUIRE(late.error().code == Errc::kDeadlineExceeded);
      REQUIRE(late.error().outcome == Outcome::kNotRun);
      REQUIRE(late.error().retry_after.has_value());
      hasty.deadline = now + seconds(60);
      hasty.terms.max_wait = milliseconds(100);
      const auto full = admission.Offer(hasty, now);
      REQUIRE(full.error().code == Errc::kOverloaded);
      REQUIRE(full.error().retry_after.has_value());
    }

    SECTION("times to come back are spread") {
      AdmissionRequest hasty = Ask("b", now);
      hasty.terms.max_wait = milliseconds(100);
      std::set<milliseconds> times;
      for (int i = 0; i < 20; ++i) {
        times.insert(*admission.Offer(hasty, now).error().retry_after);
      }
      REQUIRE(times.size() > 10);
    }

    SECTION("a wait that is over ends in a refusal") {
      start(Ask("b", now));
      now += seconds(5);
      const auto over = admission.Advance(now);
      REQUIRE(over.size() == 1);
      REQUIRE(over.front().refusal->code == Errc::kOverloaded);
    }
  }

  SECTION("lower ranks first") {
    start(Ask("a", now, 1));
    AdmissionRequest later = Ask("a", now, 1);
    later.terms.rank = 5;
    const AdmissionId low = start(later).first;
    const AdmissionId high = start(Ask("b", now, 1)).first;
    admission.End(AdmissionId(1), AdmissionEnd::kServed, now);
    REQUIRE(admission.Advance(now).front().id == high);
    admission.End(high, AdmissionEnd::kServed, now);
    REQUIRE(admission.Advance(now).front().id == low);
  }

  SECTION("within the customer's rate") {
    AdmissionRequest request = Ask("a", now, 100);
    request.terms.max_per_second = 3;
    for (int i = 0; i < 3; ++i) {
      REQUIRE(admission.Offer(request, now).has_value());
    }
    const auto over = admission.Offer(request, now);
    REQUIRE(over.error().code == Errc::kLimitExceeded);
    now += milliseconds(350);
    REQUIRE(admission.Offer(request, now).has_value());
  }

  SECTION("into more places only while endpoints take them") {
    ConcurrencyLimit limit;
    limit.Configure(10, 10, 20, 0.01);
    for (int i = 0; i < 1'000; ++i) {
      limit.OnServed(true, 0.015, seconds(1), now);
    }
    REQUIRE(limit.value() == 20);
    limit.OnRefused(seconds(1), now);
    limit.OnRefused(seconds(1), now);
    REQUIRE(limit.value() == 18);

    SECTION("and do not slow down") {
      for (int i = 0; i < 10; ++i) {
        now += seconds(2);
        limit.OnServed(true, 0.2, seconds(1), now);
      }
      REQUIRE(limit.value() < 10);
      REQUIRE(limit.value() >= 2);
    }

    SECTION("but never below a quarter of its part") {
      for (int i = 0; i < 100; ++i) {
        now += seconds(2);
        limit.OnRefused(seconds(1), now);
      }
      REQUIRE(limit.value() == 2);
    }
  }
}

TEST_CASE("admission keeps its promises in any order of events") {
  const bool holds = rc::check([] {
    Admission admission(7);
    Book book;
    TimePoint now{seconds(100)};
    const auto places = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto most = *rc::gen::inRange<std::uint32_t>(1, 6);
    std::map<CustomerId, std::deque<TimePoint>> accepted;
    constexpr int kRate = 4;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1'000)));
    for (const auto& [action, number] : steps) {
      if (action < 4) {
        AdmissionRequest request =
            Ask("c" + std::to_string(number % 4), now, places);
        request.most_places = 2 * places;
        request.terms.rank = static_cast<std::uint32_t>(number % 2);
        request.terms.weight = 1 + number % 3;
        request.terms.max_in_flight = most;
        request.terms.max_per_second = number % 4 == 0 ? kRate : 0;
        request.terms.max_wait = milliseconds(number);
        request.deadline = now + milliseconds(number * 7 % 2'000);
        const auto id = admission.Offer(request, now);
        if (id) {
          RC_ASSERT(book.CountOf(request.customer) < most);
          book.waiting[*id] = {
              request.customer, request.terms.rank,
              std::min(request.deadline, now + request.terms.max_wait)};
          if (request.terms.max_per_second > 0) {
            auto& times = accepted[request.customer];
            times.push_back(now);
            // A bucket of one second's requests: no span of a second holds
            // more than twice the rate.
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
      } else if (action < 6 && !book.running.empty()) {
        const auto ended =
            std::next(book.running.begin(),
                      number % static_cast<int>(book.running.size()));
        admission.End(
            ended->first,
            number % 5 == 0 ? AdmissionEnd::kRefused : AdmissionEnd::kServed,
            now);
        book.running.erase(ended);
      } else if (action == 6 && !book.waiting.empty()) {
        const auto cancelled =
            std::next(book.waiting.begin(),
                      number % static_cast<int>(book.waiting.size()));
        admission.End(cancelled->first, AdmissionEnd::kServed, now);
        book.waiting.erase(cancelled);
      } else {
        now += milliseconds(number);
      }
      const auto decisions = admission.Advance(now);
      book.Take(decisions, now);
      RC_ASSERT(admission.waiting(kPool) == book.waiting.size());
      RC_ASSERT(admission.running(kPool) == book.running.size());
      RC_ASSERT(book.running.size() <= 2 * places);
      // No place is free while a request waits.
      RC_ASSERT(book.waiting.empty() ||
                book.running.size() >= admission.places(kPool));
      for (const auto& [id, item] : book.waiting) {
        RC_ASSERT(item.expires > now);
        for (const AdmissionDecision& decision : decisions) {
          if (!decision.refusal) {
            RC_ASSERT(book.running.at(decision.id).rank <= item.rank);
          }
        }
      }
    }
    while (!book.running.empty() || !book.waiting.empty()) {
      auto& left = book.running.empty() ? book.waiting : book.running;
      admission.End(left.begin()->first, AdmissionEnd::kServed, now);
      left.erase(left.begin());
      book.Take(admission.Advance(now), now);
    }
    RC_ASSERT(admission.waiting(kPool) == 0U);
    RC_ASSERT(admission.running(kPool) == 0U);
    now += std::chrono::minutes(20);
    (void)admission.Offer(Ask("last", now), now);
    RC_ASSERT(admission.customers() == 1U);
  });
  REQUIRE(holds);
}

/// Time that each customer holds places, when all ask for more than they get.
std::map<std::string, double> HeldTimes(
    const std::map<std::string, std::pair<int, double>>& demand_and_weight) {
  Admission admission(3);
  TimePoint now{seconds(100)};
  std::map<AdmissionId, std::string> asked;
  std::map<AdmissionId, TimePoint> ends;
  std::map<std::string, int> outstanding;
  std::map<std::string, double> held;
  std::uint64_t random = 1;
  constexpr std::uint32_t kPlaces = 10;
  constexpr int kTicks = 20'000;
  for (int tick = 0; tick < kTicks; ++tick) {
    now += milliseconds(10);
    for (auto end = ends.begin(); end != ends.end();) {
      if (end->second > now) {
        ++end;
        continue;
      }
      --outstanding[asked.at(end->first)];
      admission.End(end->first, AdmissionEnd::kServed, now);
      end = ends.erase(end);
    }
    for (const auto& [customer, demand] : demand_and_weight) {
      while (outstanding[customer] < demand.first) {
        AdmissionRequest request = Ask(customer, now, kPlaces);
        request.terms.weight = demand.second;
        const auto id = admission.Offer(request, now);
        if (!id) {
          break;
        }
        asked[*id] = customer;
        ++outstanding[customer];
      }
    }
    for (const AdmissionDecision& decision : admission.Advance(now)) {
      const std::string& customer = asked.at(decision.id);
      if (decision.refusal) {
        --outstanding[customer];
        continue;
      }
      random = random * 6364136223846793005U + 1;
      const milliseconds length(200 + (random >> 33U) % 1'000);
      ends[decision.id] = now + length;
      held[customer] += std::chrono::duration<double>(length).count();
    }
  }
  return held;
}

TEST_CASE("customers share what there is") {
  SECTION("one large customer does not starve nine small ones") {
    std::map<std::string, std::pair<int, double>> customers = {
        {"large", {200, 1}}};
    for (int i = 0; i < 9; ++i) {
      customers["small" + std::to_string(i)] = {3, 1};
    }
    const auto held = HeldTimes(customers);
    const double fair = held.at("large");
    for (const auto& [customer, time] : held) {
      REQUIRE(time > 0.85 * fair);
      REQUIRE(time < 1.15 * fair);
    }
  }

  SECTION("by weight") {
    const auto held = HeldTimes({{"double", {60, 2}}, {"single", {60, 1}}});
    REQUIRE(held.at("double") / held.at("single") > 1.8);
    REQUIRE(held.at("double") / held.at("single") < 2.2);
  }

  SECTION("what a customer leaves goes to the others") {
    const auto held = HeldTimes({{"idle", {1, 1}}, {"busy", {60, 1}}});
    REQUIRE(held.at("busy") > 7 * held.at("idle"));
  }
}

TEST_CASE("daemons share a customer's limits") {
  const bool holds = rc::check([] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 500);
    const bool knows_demand = *rc::gen::arbitrary<bool>();
    std::vector<double> demand(count, 0);
    double all = 0;
    for (double& part : demand) {
      part = *rc::gen::inRange(0, 100);
      all += part;
    }
    std::uint32_t counts = 0;
    double rates = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::optional<double> part = knows_demand && all > 0
                                             ? std::optional(demand[i] / all)
                                             : std::nullopt;
      const std::uint32_t own = LocalCount(limit, {i, count}, part);
      RC_ASSERT((own == 0) == (limit == 0));
      counts += own;
      rates += LocalShare(limit, {i, count}, part);
    }
    // Beyond the limit only by the one request that each daemon keeps.
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

TEST_CASE("a gate keeps count on several threads, also of cancelled waits") {
  AdmissionGate gate;
  asio::io_context context;
  std::atomic<int> inside{0};
  std::atomic<int> most{0};
  std::atomic<int> ended{0};
  const auto visit = [&]() -> asio::awaitable<void> {
    AdmissionRequest request = Ask("a", std::chrono::steady_clock::now(), 4);
    auto ticket = co_await gate.Enter(request);
    if (ticket) {
      most = std::max(most.load(), ++inside);
      // Also when the visit is cancelled inside.
      const std::shared_ptr<void> leave(nullptr, [&](void*) { --inside; });
      co_await Sleep(milliseconds(2));
    }
  };
  constexpr int kVisits = 300;
  std::deque<asio::cancellation_signal> signals(kVisits);
  for (int i = 0; i < kVisits; ++i) {
    const auto strand = asio::make_strand(context);
    asio::co_spawn(
        strand, visit(),
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
  REQUIRE(ended == kVisits);
  REQUIRE(most <= 4);
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

TEST_CASE("a customer is known by its key") {
  const auto config = std::make_shared<const Configuration>(
      *Configuration::FromSnapshot(SnapshotOf({"k0", "k1", "k2"})));
  const auto renewed = std::make_shared<const Configuration>(
      *Configuration::FromSnapshot(SnapshotOf({"new", "k0"})));
  CustomerKeys keys;
  for (int repeat = 0; repeat < 2; ++repeat) {
    REQUIRE(keys.Find(config, "k1")->name() == "c1");
    REQUIRE(keys.Find(config, "k0")->name() == "c0");
    REQUIRE(keys.Find(config, "other") == nullptr);
  }
  REQUIRE(keys.Find(config, "new") == nullptr);
  REQUIRE(keys.Find(renewed, "new")->name() == "c0");
  REQUIRE(keys.Find(renewed, "k0")->name() == "c1");
  REQUIRE(keys.Find(renewed, "k1") == nullptr);
  REQUIRE(keys.Find(config, "k1")->name() == "c1");
}

}  // namespace
}  // namespace sycamoreford
