#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/fleet/endpoint_report.h"

namespace sycamoreford {

/// An order that an endpoint hold these layers and no others.
struct LayerOrder {
  LayerRange layers;
  FencingToken fencing;
  /// Orders accepted so far; the order is refused when it isn't so any more.
  std::uint64_t expected_sequence = 0;
};

/// How an endpoint took an order.
enum class OrderOutcome {
  /// It has begun.
  kBegun,
  /// The state holds already.
  kAlreadyInPlace,
  /// It doesn't fit the endpoint's state, which differs from what was known.
  kConflict,
  /// A later holder of the lease has given orders.
  kFenced,
  /// It was refused otherwise.
  kRefused,
};

/// Questions and orders to one endpoint. A failed order may still be carried
/// out later.
template <class T>
concept EndpointControl = requires(T& control,
                                   const std::string& address,
                                   const LayerOrder& order) {
  {
    control.FetchReport(address)
    } -> std::same_as<boost::asio::awaitable<Result<EndpointReport>>>;
  {
    control.SendOrder(address, order)
    } -> std::same_as<boost::asio::awaitable<Result<OrderOutcome>>>;
};

}  // namespace sycamoreford
