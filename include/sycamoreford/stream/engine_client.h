#pragma once

#include <chrono>
#include <concepts>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/stream/engine_event.h"
#include "sycamoreford/stream/generate_request.h"

namespace sycamoreford {

/// Event stream of a running attempt at an engine. Its destruction cancels the
/// attempt.
///
/// `Next` returns the next event, or a failure if no event can follow:
/// `kStalled` if none arrives within `timeout`.
template <class T>
concept EngineStream = requires(T& stream, std::chrono::milliseconds timeout) {
  {
    stream.Next(timeout)
    } -> std::same_as<boost::asio::awaitable<Result<EngineEvent>>>;
};

/// Client of model engines; tests substitute a fake.
///
/// `Open` sends a request to the first stage of its chain. A failure with the
/// outcome `kNotRun` guarantees that no stage ran any part of the request.
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
