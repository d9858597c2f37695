// The store's answers that bring a change of the manifest are lost, one at each
// daemon. Callers then see how long the daemons handle their requests by the
// version before.
#include <string>

#include "../support-2/booking.h"

namespace review {
namespace {

constexpr int kDaemons = 2;

int Run(const std::string& root,
        const std::string& folder,
        const std::string& record_path) {
  Booking booking(root, folder, record_path);
  if (!booking.Start(kDaemons)) {
    return kCannotRun;
  }
  SleepMs(6'000);
  booking.Put(20);
  SleepMs(1'000);
  if (!booking.IsServed("added", kLostKey)) {
    booking.record.Add("version 20 is not in force");
    return kCannotRun;
  }
  const int answers_before = booking.store.answers().second;
  if (HasTrouble()) {
    booking.store.LoseOpenFeedAnswers("op");
  }
  booking.Put(30);
  // `ContactMs` after the disruption, which is over at once, and 1 s more.
  SleepMs(4'000);
  const auto [lost, answers] = booking.store.answers();
  booking.record.Add("the store has lost " + std::to_string(lost) +
                     " answers and has given " +
                     std::to_string(answers - answers_before));
  const auto end = Clock::now() + std::chrono::milliseconds(5'000);
  while (Clock::now() < end) {
    booking.Round();
    SleepMs(250);
  }
  booking.record.Add(
      "served as every version allows: " + std::to_string(booking.served) +
      "; handled as only an older version than 30 allows: " +
      std::to_string(booking.by_older));
  if (booking.served == 0) {
    return kCannotRun;
  }
  return booking.by_older > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  return argc == kArguments ? review::Run(argv[1], argv[2], argv[3])
                            : review::kCannotRun;
}
