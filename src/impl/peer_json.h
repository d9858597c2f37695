#pragma once

#include <vector>

#include <boost/json.hpp>

#include "sycamoreford/fleet/endpoint_finding.h"
#include "sycamoreford/fleet/leaving_run.h"
#include "sycamoreford/fleet/store_news.h"
#include "sycamoreford/relay/chain_loads.h"
#include "sycamoreford/relay/endpoint_limits.h"
#include "sycamoreford/relay/request_quarantine.h"

/// The parts of messages between daemons as JSON. The functions that read throw
/// std::exception if a member is missing, of another type or out of range.
namespace sycamoreford::impl {

[[nodiscard]] boost::json::object ToJson(const TraitReport& report);
[[nodiscard]] TraitReport ToTraitReport(const boost::json::object& object);
[[nodiscard]] boost::json::array ToJson(
    const std::vector<EndpointLimitReport>& reports);
[[nodiscard]] boost::json::array ToJson(
    const std::vector<ChainLoadReport>& loads);
[[nodiscard]] ChainLoadReport ToChainLoadReport(
    const boost::json::object& object);
[[nodiscard]] boost::json::array ToJson(const std::vector<LeavingRun>& runs);
[[nodiscard]] LeavingRun ToLeavingRun(const boost::json::object& object);
[[nodiscard]] EndpointLimitReport ToLimitReport(
    const boost::json::object& object);
[[nodiscard]] boost::json::object ToJson(const EndpointFinding& finding);
[[nodiscard]] EndpointFinding ToEndpointFinding(
    const boost::json::object& object);
[[nodiscard]] boost::json::object ToJson(const StoreNews& news);
[[nodiscard]] StoreNews ToStoreNews(const boost::json::object& object);

}  // namespace sycamoreford::impl
