// Every daemon uses a bounded part of the endpoints; together they use all of
// them evenly.
#include <algorithm>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/route/subset.h"

namespace sycamoreford {
namespace {

TEST_CASE("daemons share endpoints out") {
  SECTION("few daemons reach all of few endpoints") {
    REQUIRE(SubsetSize(9, 30) == 30);
    REQUIRE(SubsetOf({4, 9}, 30, SubsetSize(9, 30), 1).size() == 30);
  }

  SECTION("few daemons together reach all of many endpoints") {
    std::set<std::uint32_t> reached;
    for (std::uint32_t daemon = 0; daemon < 9; ++daemon) {
      const auto part = SubsetOf({daemon, 9}, 600, SubsetSize(9, 600), 1);
      reached.insert(part.begin(), part.end());
    }
    REQUIRE(reached.size() == 600);
  }

  SECTION("many daemons hold few connections each") {
    const std::uint32_t size = SubsetSize(390, 600);
    REQUIRE(size <= 64);
    REQUIRE(SubsetOf({389, 390}, 600, size, 1).size() <= 2UL * size);
  }

  SECTION("any number of daemons uses endpoints evenly") {
    const bool holds = rc::check([] {
      const auto endpoints = *rc::gen::inRange<std::uint32_t>(1, 300);
      const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 100);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const std::uint32_t size =
          *rc::gen::inRange<std::uint32_t>(1, endpoints + 1);
      std::vector<std::uint32_t> used(endpoints, 0);
      for (std::uint32_t daemon = 0; daemon < daemons; ++daemon) {
        const auto part = SubsetOf({daemon, daemons}, endpoints, size, seed);
        RC_ASSERT(part.size() >= size);
        RC_ASSERT(part.size() < 2 * size || part.size() == endpoints);
        RC_ASSERT(std::set(part.begin(), part.end()).size() == part.size());
        for (const std::uint32_t index : part) {
          ++used.at(index);
        }
      }
      const auto [least, most] = std::minmax_element(used.begin(), used.end());
      // Whole rounds are even; the last one may be cut short.
      RC_ASSERT(*most - *least <= 1);
    });
    REQUIRE(holds);
  }
}

}  // namespace
}  // namespace sycamoreford
