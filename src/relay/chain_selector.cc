#include "sycamoreford/relay/chain_selector.h"

#include <algorithm>
#include <limits>

namespace sycamoreford {
namespace {

/// Share of a chain's room that a chain of another data centre must be freer
/// by: the way there takes longer and its bytes are paid for.
constexpr double kRemotePenalty = 0.15;
/// The same for each millisecond that a token takes longer: a request on a slow
/// chain holds its memory for longer.
constexpr double kStepPenalty = 0.05;
/// The same for a chain that has failed or refused the request: it is taken
/// when there is no other.
constexpr double kTriedPenalty = 10;
/// Requests are refused above this share of the room. The rest is for answers
/// that get longer than usual: a request that finds no memory in the middle of
/// its answer is read again, which costs the others as well.
constexpr double kMostUsed = 0.9;
/// A stated load is of use for this long; about a tenth of a stream's time.
constexpr std::chrono::milliseconds kStatedFor{500};
/// Weight of the newest request in the mean of tokens.
constexpr double kNewest = 0.02;

}  // namespace

double ChainSelector::TokensOn(const ServingChain& chain,
                               std::uint32_t daemons,
                               TimePoint now) const {
  const auto stated = stated_.find(chain.stages.front().endpoint.value());
  if (stated != stated_.end() && now - stated->second.at < kStatedFor) {
    const double requests = static_cast<double>(stated->second.requests) +
                            static_cast<double>(stated->second.since);
    return std::max(0.0, requests) * mean_tokens_;
  }
  double most = 0;
  for (const ChainStage& stage : chain.stages) {
    const auto found = tokens_.find(stage.endpoint.value());
    most = std::max(most, found == tokens_.end() ? 0 : found->second);
  }
  return most * std::max(1U, daemons);
}

const ServingChain* ChainSelector::Pick(double tokens,
                                        std::uint32_t daemons,
                                        const std::set<std::string>& tried,
                                        bool only_tried,
                                        TimePoint now) const {
  const ServingChain* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const ServingChain& chain : chains_) {
    const std::string& first = chain.stages.front().endpoint.value();
    const bool was_tried = tried.contains(first);
    if (only_tried && !was_tried) {
      continue;
    }
    const double used =
        (TokensOn(chain, daemons, now) + tokens) / chain.token_capacity;
    if (used > kMostUsed) {
      continue;
    }
    const double cost =
        used + kStepPenalty * chain.decode_step_time.count() +
        (chain.data_centre == data_centre_ ? 0 : kRemotePenalty) +
        (was_tried ? kTriedPenalty : 0);
    if (cost < best_cost) {
      best_cost = cost;
      best = &chain;
    }
  }
  return best;
}

void ChainSelector::OnStatedLoad(const std::string& first,
                                 StatedLoad load,
                                 TimePoint now) {
  stated_[first] = {.requests = load.running + load.waiting, .at = now};
}

void ChainSelector::OnSent(const Chain& stages, double tokens) {
  for (const ChainStage& stage : stages) {
    tokens_[stage.endpoint.value()] += tokens;
  }
  mean_tokens_ = mean_tokens_ <= 0
                     ? tokens
                     : (1 - kNewest) * mean_tokens_ + kNewest * tokens;
  ++stated_[stages.front().endpoint.value()].since;
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
  --stated_[stages.front().endpoint.value()].since;
}

}  // namespace sycamoreford
