#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {

/// Decides, round by round, which orders to give to the cards of a service in
/// all data centres, and remembers the orders under way.
///
/// Loads answered: cards that start together, are lost while others still load,
/// and loads that slow each other.
///
/// Thread safety: none.
class PlacementRounds {
 public:
  /// The orders to give now; each counts as under way from here on.
  ///
  /// \param cards usable cards of all data centres with the layers that they
  ///     announce.
  /// \param in_use ids of cards that chains use now.
  [[nodiscard]] std::vector<PlacementChange> Next(
      const EngineProfile& profile,
      std::vector<Card> cards,
      const std::vector<std::string>& in_use,
      TimePoint now);

  /// An order was refused or could not be given: the card is planned for again
  /// after a pause.
  void OnRefused(const std::string& card, TimePoint now);

  /// An order was not given, since the card turned out to be unfit for it: the
  /// next round plans without it.
  void OnNotGiven(const std::string& card) { pending_.erase(card); }

  /// Forgets the orders under way; for a daemon that no longer gives them.
  void Forget() { pending_.clear(); }

 private:
  /// An order whose effect the card does not announce yet.
  struct Pending {
    LayerRange layers;
    /// Forgotten then, and planned anew.
    TimePoint until{};
  };

  /// Puts the layers ordered in place of those announced.
  void ApplyPending(std::vector<Card>& cards, TimePoint now);
  /// Whether the list is complete enough for a first placement.
  [[nodiscard]] bool HasSettled(const std::vector<Card>& cards, TimePoint now);
  /// Cards that chains use or have used a moment ago.
  [[nodiscard]] std::vector<std::string> RecentlyUsed(
      const std::vector<std::string>& in_use,
      TimePoint now);

  std::map<std::string, Pending> pending_;
  /// When chains used a card last.
  std::map<std::string, TimePoint> used_at_;
  std::size_t seen_cards_ = 0;
  TimePoint seen_since_{};
};

/// Cards by their data centre.
[[nodiscard]] std::map<std::string, std::vector<Card>> ByDataCentre(
    std::vector<Card> cards);

}  // namespace sycamoreford
