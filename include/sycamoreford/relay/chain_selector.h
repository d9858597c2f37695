#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/relay/chain_loads.h"
#include "sycamoreford/relay/reported_load.h"

namespace sycamoreford {

/// Chooses the chain for a request by the memory that requests in flight use.
///
/// The first endpoint of a chain reports with each response how many requests
/// it has from all daemons (`ChainLoads`). Without a recent report, each other
/// daemon is assumed to have as many tokens in flight as this one.
///
/// Chains that have stages in common share the memory of these.
///
/// When a data centre loses its chain, its requests go to the chains of other
/// data centres; a request that fits nowhere is rejected immediately.
///
/// Thread safety: none.
class ChainSelector {
 public:
  /// \param data_centre data centre of this daemon.
  explicit ChainSelector(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  void SetChains(std::vector<ServingChain> chains) {
    chains_ = std::move(chains);
  }
  [[nodiscard]] const std::vector<ServingChain>& chains() const noexcept {
    return chains_;
  }

  /// Returns the chain with the lowest cost: the share of its token capacity
  /// that is in use, plus penalties for slow, remote and already tried chains.
  ///
  /// \param tokens expected number of tokens of the request when it ends.
  /// \param daemons number of daemons that share the chains; at least 1.
  /// \param tried first endpoints that the request was already sent to; others
  ///     are preferred.
  /// \param only_tried whether the request may only be sent to `tried`.
  /// \param excluded first endpoints to which nothing may be sent at present.
  /// \param reserved_share share of a chain's token capacity that the request
  ///     has to leave free.
  /// \returns null when no chain has enough capacity left. Valid until
  ///     `SetChains`.
  [[nodiscard]] const ServingChain* Pick(
      double tokens,
      std::uint32_t daemons,
      const std::set<std::string>& tried,
      bool only_tried,
      TimePoint now,
      const std::set<std::string>& excluded = {},
      double reserved_share = 0) const;

  /// Records a load report of the first endpoint of a chain.
  void OnReportedLoad(const std::string& first,
                      ReportedLoad load,
                      TimePoint now) {
    loads_.OnReport(first, load.running + load.waiting, now);
  }
  /// The loads of the chains, as reported to this daemon and told by others.
  [[nodiscard]] ChainLoads& loads() noexcept { return loads_; }

  /// Mean age of the load reports of the chains; at most their lifetime.
  [[nodiscard]] Duration KnowledgeAge(TimePoint now) const;

  /// Called when a request is sent through a chain.
  void OnSent(const Chain& stages, double tokens, TimePoint now);
  /// Called when a request has ended or left the chain.
  void OnEnded(const Chain& stages, double tokens, TimePoint now);

 private:
  /// Tokens in flight on a chain and on those that overlap with it.
  [[nodiscard]] double EstimateTokensInFlight(const ServingChain& chain,
                                              std::uint32_t daemons,
                                              TimePoint now) const;
  /// Tokens in flight that were sent to the first endpoint of a chain, by its
  /// last report; nothing without a recent one.
  [[nodiscard]] std::optional<double> ReportedTokens(const std::string& first,
                                                     TimePoint now) const;
  [[nodiscard]] double OwnTokens(const std::string& endpoint) const;

  std::string data_centre_;
  std::vector<ServingChain> chains_;
  /// Tokens of this daemon's requests in flight, by endpoint.
  std::map<std::string, double> own_tokens_;
  /// Moving average of the tokens of a request sent by this daemon.
  double mean_tokens_ = 0;
  ChainLoads loads_;
};

}  // namespace sycamoreford
