#pragma once

#include <chrono>
#include <concepts>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/stream/engine_event.h"
#include "sycamoreford/stream/generate_request.h"

namespace sycamoreford {

/// A running attempt at an engine. Destroying it cancels the attempt.
///
/// `Next` answers the next event, or a failure when none can follow: `kStalled`
/// after `timeout` without one.
template <class T>
concept EngineStream = requires(T& stream, std::chrono::milliseconds timeout) {
  {
    stream.Next(timeout)
    } -> std::same_as<boost::asio::awaitable<Result<EngineEvent>>>;
};

/// Access to model engines; the seam that tests replace.
///
/// `Open` sends an order to the first stage of its chain. A failure with
/// outcome `kNotRun` proves that no stage ran anything of it.
template <class T>
concept EngineClient = requires(T& engine,
                                const GenerateRequest& request,
                                std::chrono::milliseconds timeout) {
  requires EngineStream<typename T::Stream>;
  {
    engine.Open(request, timeout)
    } -> std::same_as<boost::asio::awaitable<Result<typename T::Stream>>>;
};

}  // namespace sycamoreford
