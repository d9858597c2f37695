#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/relay/reported_load.h"

namespace sycamoreford {

/// Chooses the chain for a request by the memory that requests in flight take.
///
/// The first endpoint of a chain states with each answer how many requests it
/// has from all daemons; what was sent since is added. Before it did, a daemon
/// takes the others to carry as much as itself. Load answered: a data centre
/// whose chain is lost sends its requests to the chains of the others, and what
/// fits nowhere is refused at once.
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
  /// \param tried first endpoints that the request was sent to; others are
  ///     preferred.
  /// \param only_tried whether it may not be sent to others.
  /// \returns nothing when no chain has room. Valid until `SetChains`.
  [[nodiscard]] const ServingChain* Pick(double tokens,
                                         std::uint32_t daemons,
                                         const std::set<std::string>& tried,
                                         bool only_tried,
                                         TimePoint now) const;

  /// The first endpoint of a chain stated its load.
  void OnReportedLoad(const std::string& first,
                      ReportedLoad load,
                      TimePoint now);

  /// A request was sent along a chain.
  void OnSent(const Chain& stages, double tokens);
  /// It ended there.
  void OnEnded(const Chain& stages, double tokens);

 private:
  /// Requests that a first endpoint has from all daemons.
  struct LoadReport {
    std::uint32_t requests = 0;
    /// Requests of this daemon that were sent or ended since.
    std::int64_t own_change = 0;
    TimePoint received_at{};
  };

  [[nodiscard]] double EstimateTokensInFlight(const ServingChain& chain,
                                              std::uint32_t daemons,
                                              TimePoint now) const;

  std::string data_centre_;
  std::vector<ServingChain> chains_;
  /// Tokens of this daemon's requests by endpoint.
  std::map<std::string, double> own_tokens_;
  /// Requests and their tokens that this daemon has sent, for the mean.
  double mean_tokens_ = 0;
  std::map<std::string, LoadReport> load_reports_;
};

}  // namespace sycamoreford
