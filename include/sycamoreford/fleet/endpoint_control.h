#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/fleet/endpoint_report.h"

namespace sycamoreford {

/// Instructs an endpoint to hold exactly these layers.
struct LayerOrder {
  LayerRange layers;
  FencingToken fencing;
  /// Number of orders that the endpoint has accepted so far; it refuses this
  /// order if the number differs.
  std::uint64_t expected_sequence = 0;
};

/// An endpoint's reply to an order.
enum class OrderOutcome {
  /// The endpoint has started to carry it out.
  kBegun,
  /// The endpoint already holds these layers.
  kAlreadyInPlace,
  /// The endpoint's state differs from what the order expects.
  kConflict,
  /// The endpoint has accepted an order with a higher fencing token.
  kFenced,
  /// Refused for another reason.
  kRefused,
};

/// An endpoint's response to an order.
struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kRefused;
  /// Whether the endpoint states that it will stop soon.
  bool is_leaving = false;
  /// As `ResponseHead::retry_after`.
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Reads reports of endpoints and sends them orders. An order whose call failed
/// may still be carried out later. A report that the endpoint refuses with a
/// time to stay away is a failure with `retry_after`.
template <class T>
concept EndpointControl = requires(T& control,
                                   const std::string& address,
                                   const LayerOrder& order) {
  {
    control.FetchReport(address)
    } -> std::same_as<boost::asio::awaitable<Result<EndpointReport>>>;
  {
    control.SendOrder(address, order)
    } -> std::same_as<boost::asio::awaitable<Result<OrderReply>>>;
};

}  // namespace sycamoreford
