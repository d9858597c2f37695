// A daemon freezes while a replica that leaves works on its request. Until the
// daemon wakes, the replica has started again under the id that it had.
#include <csignal>
#include <iostream>
#include <thread>

#include "../support/deployment.h"
#include "../support/manifest.h"
#include "../support/replica.h"
#include "../support/store.h"

namespace review {
namespace {

constexpr Milliseconds kFreeze{4'000};
constexpr Milliseconds kContact{3'000};
constexpr Milliseconds kDrain{2'000};
constexpr Milliseconds kWork{300};
constexpr Milliseconds kLoadTime{6'000};

int Run(const std::string& record_path) {
  Record record(record_path);
  const TemporaryFolder folder;
  Store store;
  Replica app_1(store, {.id = "i-1", .service = "app"});
  Replica app_2(store, {.id = "i-2", .service = "app"});
  Replica index(store, {.id = "i-7", .service = "index", .work = kWork});
  app_1.Announce();
  app_2.Announce();
  index.Announce();
  store.Write("op", "config",
              Manifest(3, {Route("/lookup/", "app")},
                       {Service("app"), Service("index")}));
  const auto relays = StartRelays(3, store.address(), folder.path(), record);
  if (relays.empty()) {
    return kCannotRun;
  }
  std::this_thread::sleep_for(Milliseconds(3'000));
  store.Write("op", "config",
              Manifest(5, {Route("/lookup/", "app"), Route("/added/", "index")},
                       {Service("app"), Service("index")}));
  record.Note("manifest 5 confirmed, with one more route");
  std::this_thread::sleep_for(Milliseconds(4'000));

  Callers callers(record);
  const Answer before = callers.Ask(*relays[1], "/added/before", {});
  if (before.status != 200) {
    return kCannotRun;
  }
  callers.Send(*relays[0], "/added/in-flight", {}, Milliseconds(20'000));
  std::this_thread::sleep_for(kWork / 2);
  if (!IsWithoutTrouble()) {
    relays[0]->Signal(SIGSTOP);
    record.Note("frozen: " + relays[0]->name());
  }
  const auto frozen_at = Clock::now();
  // The replica is restarted as planned: its entry goes, it serves for the time
  // of a drain and a little longer, and comes back.
  index.Leave();
  index.Withdraw();
  record.Note("i-7 leaves, born " + std::to_string(index.born()));
  std::this_thread::sleep_for(kDrain + Milliseconds(200));
  index.End();
  record.Note("i-7 has ended");
  std::this_thread::sleep_for(Milliseconds(500));
  index.Restart();
  index.Announce();
  record.Note("i-7 has started again, born " + std::to_string(index.born()));
  std::this_thread::sleep_until(frozen_at + kFreeze);
  if (!IsWithoutTrouble()) {
    relays[0]->Signal(SIGCONT);
    record.Note("awake: " + relays[0]->name());
  }

  const auto from = Clock::now() + kContact + Milliseconds(1'000);
  const auto to = from + kLoadTime;
  std::this_thread::sleep_until(from);
  const std::size_t ran_before = index.runs().size();
  std::thread first(
      [&] { callers.Load(relays, "/lookup/", Milliseconds(100), to); });
  callers.Load(relays, "/added/", Milliseconds(200), to);
  first.join();
  callers.Join();
  const auto old_ones = callers.Sent("/lookup/", from, to);
  const auto new_ones = callers.Sent("/added/", from, to);
  const double old_share = ServedShare(old_ones);
  const double new_share = ServedShare(new_ones);
  const std::string result =
      "first route: " + std::to_string(old_ones.size()) +
      " requests, share served " + std::to_string(old_share) +
      "; route added later: " + std::to_string(new_ones.size()) +
      " requests, share served " + std::to_string(new_share) + "; i-7 ran " +
      std::to_string(index.runs().size() - ran_before);
  record.Note(result);
  std::cout << result << "\n";
  if (new_ones.size() < 20 || old_share < 0.5) {
    return kCannotRun;
  }
  return new_share < old_share / 4 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) {
    return review::kCannotRun;
  }
  try {
    return review::Run(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return review::kCannotRun;
  }
}
