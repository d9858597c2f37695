#include "sycamoreford/fleet/daemon_duty.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace sycamoreford {
namespace {

std::uint64_t WeightOf(std::string_view daemon, std::uint64_t task) {
  return XXH3_64bits_withSeed(daemon.data(), daemon.size(), task);
}

}  // namespace

void DaemonDuty::SetDaemons(std::vector<std::string> daemons, std::string own) {
  if (daemons != daemons_) {
    daemons_ = std::move(daemons);
    chosen_.clear();
  }
  own_ = std::move(own);
}

const std::vector<std::string>& DaemonDuty::Choose(
    std::string_view task) const {
  const auto remembered = chosen_.find(task);
  if (remembered != chosen_.end()) {
    return remembered->second;
  }
  if (chosen_.size() >= kMaxRemembered) {
    chosen_.clear();
  }
  const std::uint64_t seed = XXH3_64bits(task.data(), task.size());
  std::vector<std::pair<std::uint64_t, const std::string*>> weights;
  weights.reserve(daemons_.size());
  for (const std::string& daemon : daemons_) {
    weights.emplace_back(WeightOf(daemon, seed), &daemon);
  }
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         weights.size(), kDaemonsPerTask));
  std::partial_sort(
      weights.begin(), end, weights.end(), [](const auto& a, const auto& b) {
        return std::tie(b.first, *b.second) < std::tie(a.first, *a.second);
      });
  std::vector<std::string>& chosen = chosen_[std::string(task)];
  for (auto it = weights.begin(); it != end; ++it) {
    chosen.push_back(*it->second);
  }
  return chosen;
}

bool DaemonDuty::IsOwn(std::string_view task) const {
  if (!IsShared()) {
    return true;
  }
  const auto& chosen = Choose(task);
  return std::find(chosen.begin(), chosen.end(), own_) != chosen.end();
}

std::vector<std::string> DaemonDuty::Others(std::string_view task) const {
  if (!IsShared()) {
    return {};
  }
  auto chosen = Choose(task);
  std::erase(chosen, own_);
  return chosen;
}

}  // namespace sycamoreford
