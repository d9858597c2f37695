#include "sycamoreford/relay/chain_selector.h"

#include <algorithm>
#include <limits>

namespace sycamoreford {
namespace {

/// Share of a chain's room that a chain of another data centre must be freer
/// by: the way there takes longer and its bytes are paid for.
constexpr double kRemotePenalty = 0.15;
/// Requests are refused above this share of the room. Above 1, since they take
/// their full memory only at their end, and a daemon's guess of the others'
/// requests is rough; endpoints make excess requests wait.
constexpr double kMostUsed = 1.6;

}  // namespace

double ChainSelector::TokensOn(const ServingChain& chain) const {
  double most = 0;
  for (const ChainStage& stage : chain.stages) {
    const auto found = tokens_.find(stage.endpoint.value());
    most = std::max(most, found == tokens_.end() ? 0 : found->second);
  }
  return most;
}

const ServingChain* ChainSelector::Pick(
    double tokens,
    std::uint32_t daemons,
    const std::set<std::string>& firsts) const {
  const ServingChain* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const ServingChain& chain : chains_) {
    const std::string& first = chain.stages.front().endpoint.value();
    if (!firsts.empty() && !firsts.contains(first)) {
      continue;
    }
    const double used =
        (TokensOn(chain) * std::max(1U, daemons) + tokens) / chain.room_tokens;
    if (used > kMostUsed) {
      continue;
    }
    const double cost =
        used + (chain.data_centre == data_centre_ ? 0 : kRemotePenalty);
    if (cost < best_cost) {
      best_cost = cost;
      best = &chain;
    }
  }
  return best;
}

void ChainSelector::OnSent(const Chain& stages, double tokens) {
  for (const ChainStage& stage : stages) {
    tokens_[stage.endpoint.value()] += tokens;
  }
}

void ChainSelector::OnEnded(const Chain& stages, double tokens) {
  for (const ChainStage& stage : stages) {
    const auto found = tokens_.find(stage.endpoint.value());
    if (found == tokens_.end()) {
      continue;
    }
    found->second -= tokens;
    if (found->second < 0.5) {
      tokens_.erase(found);
    }
  }
}

}  // namespace sycamoreford
