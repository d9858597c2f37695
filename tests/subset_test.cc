// Each daemon uses a limited subset of the endpoints; together the daemons use
// all endpoints evenly.
#include <algorithm>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/route/subset.h"

namespace sycamoreford {
namespace {

TEST_CASE("distributing endpoints over daemons") {
  SECTION("each daemon uses all endpoints of a small pool") {
    REQUIRE(SubsetSize(9, 30) == 30);
    REQUIRE(SubsetOf({4, 9}, 30, SubsetSize(9, 30), 1).size() == 30);
  }

  SECTION("few daemons together use all endpoints of a large pool") {
    std::set<std::uint32_t> covered;
    for (std::uint32_t daemon = 0; daemon < 9; ++daemon) {
      const auto subset = SubsetOf({daemon, 9}, 600, SubsetSize(9, 600), 1);
      covered.insert(subset.begin(), subset.end());
    }
    REQUIRE(covered.size() == 600);
  }

  SECTION("many daemons use few endpoints each") {
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
        const auto subset = SubsetOf({daemon, daemons}, endpoints, size, seed);
        RC_ASSERT(subset.size() >= size);
        RC_ASSERT(subset.size() < 2 * size || subset.size() == endpoints);
        RC_ASSERT(std::set(subset.begin(), subset.end()).size() ==
                  subset.size());
        for (const std::uint32_t index : subset) {
          ++used.at(index);
        }
      }
      const auto [least, most] = std::minmax_element(used.begin(), used.end());
      // Complete rounds use all endpoints equally; the last may be incomplete.
      RC_ASSERT(*most - *least <= 1);
    });
    REQUIRE(holds);
  }
}

}  // namespace
}  // namespace sycamoreford
