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

std::vector<std::string> DaemonDuty::Order(std::string_view task) const {
  const std::uint64_t seed = XXH3_64bits(task.data(), task.size());
  std::vector<std::pair<std::uint64_t, const std::string*>> weights;
  weights.reserve(daemons_.size());
  for (const std::string& daemon : daemons_) {
    weights.emplace_back(WeightOf(daemon, seed), &daemon);
  }
  std::sort(weights.begin(), weights.end(), [](const auto& a, const auto& b) {
    return std::tie(b.first, *b.second) < std::tie(a.first, *a.second);
  });
  std::vector<std::string> order;
  order.reserve(weights.size());
  for (const auto& [weight, daemon] : weights) {
    order.push_back(*daemon);
  }
  return order;
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
  std::vector<std::string>& chosen = chosen_[std::string(task)];
  chosen = Order(task);
  chosen.resize(std::min(chosen.size(), kDaemonsPerTask));
  return chosen;
}

std::size_t DaemonDuty::RankOf(std::string_view task) const {
  const auto& chosen = Choose(task);
  const auto rank = static_cast<std::size_t>(
      std::find(chosen.begin(), chosen.end(), own_) - chosen.begin());
  return rank < chosen.size() ? rank : kDaemonsPerTask;
}

std::vector<std::string> DaemonDuty::Children(std::string_view task) const {
  if (!IsShared()) {
    return {};
  }
  const auto order = Order(task);
  const auto own = static_cast<std::size_t>(
      std::find(order.begin(), order.end(), own_) - order.begin());
  std::vector<std::string> children;
  const std::size_t first = kDaemonsPerTask + kFanOut * own;
  for (std::size_t i = first; i < first + kFanOut && i < order.size(); ++i) {
    children.push_back(order[i]);
  }
  return children;
}

bool DaemonDuty::IsParent(std::string_view task,
                          const std::string& daemon) const {
  if (!IsShared()) {
    return false;
  }
  const auto order = Order(task);
  const auto own = static_cast<std::size_t>(
      std::find(order.begin(), order.end(), own_) - order.begin());
  return own >= kDaemonsPerTask && own < order.size() &&
         order[(own - kDaemonsPerTask) / kFanOut] == daemon;
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
