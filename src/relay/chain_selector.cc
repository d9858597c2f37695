#include "sycamoreford/relay/chain_selector.h"

#include <algorithm>
#include <limits>

namespace sycamoreford {
namespace {

/// Penalty for a chain in another data centre, as a share of token capacity:
/// latency is higher and traffic between data centres is billed.
constexpr double kRemotePenalty = 0.15;
/// Penalty for each millisecond of decode step time: a request on a slow chain
/// occupies memory for longer.
constexpr double kDecodeStepPenaltyPerMs = 0.05;
/// Penalty for a chain that has failed or rejected the request: it is chosen
/// only when there is no other.
constexpr double kTriedPenalty = 10;
/// Maximum share of a chain's token capacity in use. The rest is reserved for
/// responses that get longer than expected: a request that runs out of memory
/// in the middle of its response is prefilled again, which slows the others
/// too.
constexpr double kMaxUsedShare = 0.9;
/// Weight of the newest request in the moving average of tokens.
constexpr double kSmoothingFactor = 0.02;

}  // namespace

std::optional<double> ChainSelector::ReportedTokens(const std::string& first,
                                                    TimePoint now) const {
  const auto requests = loads_.Requests(first, now);
  return requests ? std::optional(*requests * mean_tokens_) : std::nullopt;
}

double ChainSelector::OwnTokens(const std::string& endpoint) const {
  const auto found = own_tokens_.find(endpoint);
  return found == own_tokens_.end() ? 0 : found->second;
}

double ChainSelector::EstimateTokensInFlight(const ServingChain& chain,
                                             std::uint32_t daemons,
                                             TimePoint now) const {
  const double all = std::max(1U, daemons);
  const auto reported = ReportedTokens(chain.first_endpoint(), now);
  if (!reported) {
    double max_tokens = 0;
    for (const ChainStage& stage : chain.stages) {
      max_tokens = std::max(max_tokens, OwnTokens(stage.endpoint.value()));
    }
    return max_tokens * all;
  }
  double tokens = *reported;
  for (const ServingChain& other : chains_) {
    const std::string& first = other.first_endpoint();
    if (first != chain.first_endpoint() && other.Overlaps(chain)) {
      tokens += ReportedTokens(first, now).value_or(OwnTokens(first) * all);
    }
  }
  return tokens;
}

Duration ChainSelector::KnowledgeAge(TimePoint now) const {
  if (chains_.empty()) {
    return ChainLoads::kTtl;
  }
  Duration sum{0};
  for (const ServingChain& chain : chains_) {
    sum += loads_.Age(chain.first_endpoint(), now);
  }
  return sum / static_cast<Duration::rep>(chains_.size());
}

const ServingChain* ChainSelector::Pick(double tokens,
                                        std::uint32_t daemons,
                                        const std::set<std::string>& tried,
                                        bool only_tried,
                                        TimePoint now,
                                        const std::set<std::string>& excluded,
                                        double reserved_share) const {
  const ServingChain* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const ServingChain& chain : chains_) {
    const std::string& first = chain.first_endpoint();
    const bool was_tried = tried.contains(first);
    if ((only_tried && !was_tried) || excluded.contains(first)) {
      continue;
    }
    const double used_share =
        (EstimateTokensInFlight(chain, daemons, now) + tokens) /
        chain.token_capacity;
    if (used_share > kMaxUsedShare - reserved_share) {
      continue;
    }
    const double cost =
        used_share + kDecodeStepPenaltyPerMs * chain.decode_step_time.count() +
        (chain.data_centre == data_centre_ ? 0 : kRemotePenalty) +
        (was_tried ? kTriedPenalty : 0);
    if (cost < best_cost) {
      best_cost = cost;
      best = &chain;
    }
  }
  return best;
}

void ChainSelector::OnSent(const Chain& stages, double tokens, TimePoint now) {
  for (const ChainStage& stage : stages) {
    own_tokens_[stage.endpoint.value()] += tokens;
  }
  mean_tokens_ = mean_tokens_ <= 0 ? tokens
                                   : (1 - kSmoothingFactor) * mean_tokens_ +
                                         kSmoothingFactor * tokens;
  loads_.OnSent(stages.front().endpoint.value(), now);
}

void ChainSelector::OnEnded(const Chain& stages, double tokens, TimePoint now) {
  for (const ChainStage& stage : stages) {
    const auto found = own_tokens_.find(stage.endpoint.value());
    if (found == own_tokens_.end()) {
      continue;
    }
    found->second -= tokens;
    if (found->second < 0.5) {
      own_tokens_.erase(found);
    }
  }
  loads_.OnEnded(stages.front().endpoint.value(), now);
}

}  // namespace sycamoreford
