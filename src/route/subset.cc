#include "sycamoreford/route/subset.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace sycamoreford {
namespace {

constexpr std::uint32_t kMinSubsetSize = 64;
constexpr std::uint32_t kMinDaemonsPerEndpoint = 4;

}  // namespace

std::uint32_t SubsetSize(std::uint32_t daemons,
                         std::uint32_t endpoints) noexcept {
  const std::uint32_t shared =
      (endpoints * kMinDaemonsPerEndpoint + daemons - 1) / daemons;
  return std::min(endpoints, std::max(kMinSubsetSize, shared));
}

std::vector<std::uint32_t> SubsetOf(const FleetPosition& daemon,
                                    std::uint32_t endpoints,
                                    std::uint32_t size,
                                    std::uint64_t seed) {
  std::vector<std::uint32_t> order(endpoints);
  std::iota(order.begin(), order.end(), 0U);
  if (size >= endpoints || size == 0) {
    return order;
  }
  const std::uint32_t slices = endpoints / size;
  const std::uint32_t round = daemon.index / slices;
  const std::uint32_t slice = daemon.index % slices;
  std::mt19937_64 random(seed ^ round);
  for (std::uint32_t left = endpoints; left > 1; --left) {
    std::swap(order[left - 1], order[random() % left]);
  }
  // Slices differ in length by at most one and together cover all endpoints.
  const auto bound = [&](std::uint64_t at) {
    return order.begin() + static_cast<std::ptrdiff_t>(at * endpoints / slices);
  };
  std::vector<std::uint32_t> subset(bound(slice), bound(slice + 1));
  std::sort(subset.begin(), subset.end());
  return subset;
}

}  // namespace sycamoreford
