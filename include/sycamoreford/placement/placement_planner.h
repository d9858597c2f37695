#pragma once

#include <string>
#include <vector>

#include "sycamoreford/placement/card.h"

namespace sycamoreford {

/// A card and the layers that it is to hold.
struct PlacementChange {
  std::string card;
  LayerRange layers;

  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

/// Tokens of requests that each card of a data centre should have room for:
/// what most of an endpoint's slots need, or less when the layers would not
/// fit.
///
/// Answers the question of how many cards a copy of the model is spread over:
/// less room means fewer and faster cards in a chain, and more of the others
/// left to stand by.
[[nodiscard]] double RoomTarget(const EngineProfile& profile,
                                const std::vector<Card>& cards);

/// Whether a card that takes this many times as long as its kind is given
/// layers only when there is no other.
[[nodiscard]] bool IsDegraded(double slowness) noexcept;

/// The next changes of what the cards of one data centre hold.
///
/// Empty cards take the layers that fewest cards hold, fastest card first, so
/// that the first cards make up whole copies and the rest stand by for layers
/// of those. Layers that no card holds, which is what the loss of a card
/// leaves, are divided among neighbours that hold the layers beside them and
/// cards that no chain uses: the parts load at the same time. A card is never
/// given more than its memory holds, also while it still has its old layers.
///
/// Loads answered: cards that start, return empty, join, leave or are lost.
///
/// \param cards usable cards of one data centre.
/// \param in_use ids of cards that a chain uses at present.
/// \param loads further loads that may run now; layers without a holder are
///     loaded whatever it is, and so is a first placement.
/// \returns changes that can be ordered at once; empty when all is well.
[[nodiscard]] std::vector<PlacementChange> PlanPlacement(
    const EngineProfile& profile,
    const std::vector<Card>& cards,
    const std::vector<std::string>& in_use,
    std::uint32_t loads);

}  // namespace sycamoreford
