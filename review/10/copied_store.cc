// The store comes back from a copy some seconds old, and the operator's next
// change is among the first that it takes. Callers then see by which version of
// the manifest each daemon handles their requests.
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
  booking.store.TakeCopy();
  booking.record.Add("the copy is taken at version " +
                     std::to_string(booking.store.version()));
  SleepMs(800);
  booking.Put(20);
  SleepMs(2'700);
  if (!booking.IsServed("added", kLostKey)) {
    booking.record.Add("version 20 is not in force");
    return kCannotRun;
  }
  if (HasTrouble()) {
    booking.store.GoAway();
    booking.record.Add("the store goes away at version " +
                       std::to_string(booking.store.version()));
    SleepMs(1'000);
    booking.store.ComeBackFromCopy(
        {{"config", BookingManifest(20)}, {"config", BookingManifest(30)}});
    booking.record.Add(
        "the store is back from the copy; the operator has written versions 20 "
        "and 30; the store's version is " +
        std::to_string(booking.store.version()));
  } else {
    SleepMs(1'000);
    booking.Put(30);
  }
  // `ContactMs` until the store is stable, `StretchMaxMs`, `ConfigApplyMs`, and
  // 2 s more.
  SleepMs(12'000);
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    booking.Round();
    SleepMs(1'000);
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
