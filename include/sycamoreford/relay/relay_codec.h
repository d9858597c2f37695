#pragma once

#include <chrono>
#include <concepts>
#include <optional>
#include <set>
#include <string>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/fleet/leaving_run.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

/// Converts between the HTTP messages of callers and endpoints and the types
/// that the relay works with. The platform adapter implements it.
template <class T>
concept RelayCodec = requires(const HttpRequest& request,
                              const ForwardOptions& options,
                              const std::string& id,
                              const HttpFields& fields,
                              const PeerForward& forward,
                              const LeavingRun& leaving,
                              const std::set<std::string>& endpoints,
                              HttpResponse& response,
                              std::chrono::milliseconds retry_after) {
  { T::Decode(request) } -> std::same_as<Result<RelayRequest>>;
  { T::Encode(request, options) } -> std::same_as<HttpRequest>;
  { T::DecodeResponseHead(id, 200U, fields) } -> std::same_as<ResponseHead>;
  { T::EncodeResponse(200U, fields) } -> std::same_as<HttpResponse>;
  {
    T::EncodeRefusal(Refusal::kNoRoute, retry_after)
    } -> std::same_as<HttpResponse>;
  // Requests that one daemon forwards to another. The caller's headers are
  // kept, including its API key.
  { T::EncodeForPeer(request, forward) } -> std::same_as<HttpRequest>;
  { T::DecodeFromPeer(request) } -> std::same_as<std::optional<PeerForward>>;
  // Tells the daemon that forwarded a request that it has not run, and why.
  { T::MarkNotRun(response, Refusal::kNoEndpoint) } -> std::same_as<void>;
  // Tells the daemon that forwarded a request which endpoint is leaving.
  { T::MarkLeaving(response, leaving) } -> std::same_as<void>;
  // Tells the daemon that forwarded a request which endpoints it was sent to.
  { T::MarkTried(response, endpoints) } -> std::same_as<void>;
};

}  // namespace sycamoreford
