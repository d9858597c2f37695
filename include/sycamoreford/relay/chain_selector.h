#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/placement/chain_builder.h"

namespace sycamoreford {

/// Chooses the chain for a request by the memory that requests in flight take.
///
/// A daemon knows its own requests for certain and takes the others to carry
/// as much. Load answered: a data centre whose chain is lost sends its requests
/// to the chains of the others, and what fits nowhere is refused at once.
///
/// Thread safety: none.
class ChainSelector {
 public:
  /// \param data_centre of this daemon.
  explicit ChainSelector(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  /// Replaces the chains to choose from.
  void SetChains(std::vector<ServingChain> chains) {
    chains_ = std::move(chains);
  }
  [[nodiscard]] const std::vector<ServingChain>& chains() const noexcept {
    return chains_;
  }

  /// The chain that is left with the most room.
  ///
  /// \param tokens that the request will take at its end.
  /// \param daemons daemons that share the chains; at least 1.
  /// \param firsts when not empty, the chain must begin with one of these.
  /// \returns nothing when no chain has room. Valid until `SetChains`.
  [[nodiscard]] const ServingChain* Pick(
      double tokens,
      std::uint32_t daemons,
      const std::set<std::string>& firsts) const;

  /// A request was sent along a chain.
  void OnSent(const Chain& stages, double tokens);
  /// It ended there.
  void OnEnded(const Chain& stages, double tokens);

 private:
  [[nodiscard]] double TokensOn(const ServingChain& chain) const;

  std::string data_centre_;
  std::vector<ServingChain> chains_;
  /// Tokens of this daemon's requests by endpoint.
  std::map<std::string, double> tokens_;
};

}  // namespace sycamoreford
