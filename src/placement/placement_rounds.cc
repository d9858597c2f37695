#include "sycamoreford/placement/placement_rounds.h"

#include <algorithm>

#include "sycamoreford/placement/chain_builder.h"

namespace sycamoreford {
namespace {

/// At a first start all endpoints announce themselves within a few seconds;
/// placing begins when none has come for this long.
constexpr std::chrono::milliseconds kSettle{1'200};
/// Loads at once: with more, the weights' store slows each of them.
constexpr std::uint32_t kLoadsAtOnce = 5;
/// Streams of a broken chain are moved within about this time.
constexpr std::chrono::milliseconds kUsedFor{1'000};
/// How much longer than alone a load may take before it is planned anew:
/// several at once slow each other.
constexpr int kLoadSlack = 4;
constexpr std::chrono::milliseconds kOrderSlack{3'000};
/// Pause after an order that was refused.
constexpr std::chrono::milliseconds kRetry{500};

}  // namespace

std::vector<PlacementChange> PlacementRounds::Next(
    const EngineProfile& profile,
    std::vector<Card> cards,
    const std::vector<std::string>& in_use,
    TimePoint now) {
  std::vector<PlacementChange> orders;
  if (!HasSettled(cards, now)) {
    return orders;
  }
  ApplyPending(cards, now);
  const std::vector<std::string> used = RecentlyUsed(in_use, now);
  const auto groups = ByDataCentre(std::move(cards));
  // Cards that stand by wait while layers are missing anywhere: loads that
  // run at the same time slow each other.
  const bool is_whole =
      std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
        return MissingLayers(profile, group.second).empty();
      });
  for (const auto& [data_centre, group] : groups) {
    const auto loading = static_cast<std::uint32_t>(pending_.size());
    const std::uint32_t loads =
        is_whole ? kLoadsAtOnce - std::min(kLoadsAtOnce, loading) : 0;
    for (PlacementChange& change : PlanPlacement(profile, group, used, loads)) {
      const double share =
          static_cast<double>(change.layers.size()) / profile.layers;
      const auto load = std::chrono::duration_cast<Duration>(
          profile.load * share * kLoadSlack);
      pending_[change.card] = {change.layers, now + load + kOrderSlack};
      orders.push_back(std::move(change));
    }
  }
  return orders;
}

void PlacementRounds::OnRefused(const std::string& card, TimePoint now) {
  const auto found = pending_.find(card);
  if (found != pending_.end()) {
    found->second.until = now + kRetry;
  }
}

void PlacementRounds::ApplyPending(std::vector<Card>& cards, TimePoint now) {
  for (Card& card : cards) {
    const auto found = pending_.find(card.id);
    if (found == pending_.end()) {
      continue;
    }
    if (card.layers == found->second.layers || now >= found->second.until) {
      pending_.erase(found);
      continue;
    }
    card.layers = found->second.layers;
    card.is_loading = true;
  }
}

bool PlacementRounds::HasSettled(const std::vector<Card>& cards,
                                 TimePoint now) {
  if (cards.size() != seen_cards_) {
    seen_cards_ = cards.size();
    seen_since_ = now;
  }
  const bool is_fresh =
      std::all_of(cards.begin(), cards.end(), [&](const Card& card) {
        return card.layers.is_empty() && !pending_.contains(card.id);
      });
  return !is_fresh || (!cards.empty() && now - seen_since_ >= kSettle);
}

std::vector<std::string> PlacementRounds::RecentlyUsed(
    const std::vector<std::string>& in_use,
    TimePoint now) {
  for (const std::string& id : in_use) {
    used_at_[id] = now;
  }
  // Requests still pass a card when its chain has just lost another one, and a
  // card gives up layers only when nothing passes it any more.
  std::erase_if(used_at_,
                [&](const auto& it) { return now - it.second > kUsedFor; });
  std::vector<std::string> ids;
  for (const auto& [id, at] : used_at_) {
    ids.push_back(id);
  }
  return ids;
}

std::map<std::string, std::vector<Card>> ByDataCentre(std::vector<Card> cards) {
  std::map<std::string, std::vector<Card>> grouped;
  for (Card& card : cards) {
    grouped[card.data_centre].push_back(std::move(card));
  }
  return grouped;
}

}  // namespace sycamoreford
