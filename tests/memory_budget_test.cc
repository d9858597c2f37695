// Who loses what when the memory for bytes of others is used up.
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "sycamoreford/core/memory_hold.h"

namespace sycamoreford {
namespace {

constexpr std::size_t kLimit = 1'000;

TEST_CASE("a response without end") {
  MemoryBudget budget(kLimit);
  int lost = 0;
  const auto count = [&] { ++lost; };
  MemoryHold sound(budget, HeldKind::kResponse, "sound", count);
  MemoryHold other(budget, HeldKind::kResponse, "faulty", count);
  MemoryHold endless(budget, HeldKind::kResponse, "faulty", count);
  REQUIRE(sound.Resize(200));
  REQUIRE(other.Resize(100));
  REQUIRE(endless.Resize(400));

  SECTION("ends itself when it grows beyond its share") {
    CHECK_FALSE(endless.Resize(500));
    CHECK(lost == 0);
    CHECK(budget.held(HeldKind::kResponse) == 300);
    CHECK(budget.refused(HeldKind::kResponse) == 1);

    SECTION("and stays lost") {
      CHECK_FALSE(endless.Resize(1));
    }
  }
  SECTION("ends for a sound one that needs room") {
    CHECK(sound.Resize(300));
    CHECK(lost == 1);
    CHECK(endless.is_lost());
    CHECK_FALSE(other.is_lost());
  }
  SECTION("ends though a sound one is larger, if its sender holds more") {
    MemoryHold third(budget, HeldKind::kResponse, "faulty", count);
    REQUIRE(endless.Resize(210));
    REQUIRE(third.Resize(210));
    CHECK(sound.Resize(300));
    CHECK_FALSE(sound.is_lost());
    CHECK(lost == 1);
  }
  SECTION("does not take what complete responses need") {
    MemoryHold complete(budget, HeldKind::kResponse, "");
    CHECK(complete.Resize(600));
    CHECK_FALSE(endless.Resize(401));
    CHECK(complete.Resize(2'000));
  }
}

TEST_CASE("shares") {
  MemoryBudget budget(kLimit);
  const auto ignore = [] {};
  MemoryHold request(budget, HeldKind::kRequest, "caller", ignore);
  MemoryHold response(budget, HeldKind::kResponse, "endpoint", ignore);
  MemoryHold control(budget, HeldKind::kControl, "store", ignore);

  SECTION("requests use half") {
    CHECK(request.Resize(500));
    CHECK_FALSE(request.Resize(501));
  }
  SECTION("a quarter is left for the daemon itself") {
    CHECK(request.Resize(500));
    CHECK(response.Resize(250));
    CHECK_FALSE(response.Resize(251));
    CHECK(control.Resize(250));
  }
  SECTION("the daemon itself may use what is left") {
    CHECK(control.Resize(1'000));
    CHECK_FALSE(control.Resize(1'001));
  }
  SECTION("what is released can be used again") {
    CHECK(response.Resize(750));
    CHECK(response.Resize(0));
    CHECK(request.Resize(500));
  }
}

TEST_CASE("thousands of small holds") {
  MemoryBudget budget(kLimit * kLimit);
  std::vector<std::unique_ptr<MemoryHold>> holds;
  std::size_t lost = 0;
  for (std::size_t i = 0; i < 3'000; ++i) {
    holds.push_back(std::make_unique<MemoryHold>(
        budget, HeldKind::kResponse, std::to_string(i % 50), [&] { ++lost; }));
    (void)holds.back()->Resize(1'000);
    CHECK(budget.held(HeldKind::kResponse) <= kLimit * kLimit / 4 * 3);
  }
  holds.clear();
  CHECK(budget.held(HeldKind::kResponse) == 0);
  CHECK(lost > 0);
}

TEST_CASE("the default limit suits the smallest VM") {
  CHECK(MemoryBudget::DefaultLimit() <= 40UL * 1024 * 1024);
  CHECK(MemoryBudget::DefaultLimit() > 0);
}

}  // namespace
}  // namespace sycamoreford
