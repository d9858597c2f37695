#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "fakes/scripted_endpoint.h"
#include "support/event_stream.h"
#include "sycamoreford/adapters/http_message.h"

/// Ways in which endpoints fail a request, as `RelayNetwork::Responder`.
namespace sycamoreford::support {

inline std::string IdOf(const HttpRequest& request) {
  return "X-Attempt-Id: " + std::string(request.fields.Get("X-Attempt-Id")) +
         "\r\n";
}

inline std::string StreamHeadFor(const HttpRequest& request) {
  return "HTTP/1.1 200 OK\r\n" + IdOf(request) +
         "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline int NextEvent(const HttpRequest& request) {
  const std::string last(request.fields.Get("Last-Event-Id"));
  return last.empty() ? 0 : std::stoi(last) + 1;
}

inline fakes::EndpointScript RespondLate(std::size_t /*endpoint*/,
                                         const HttpRequest& request) {
  return {fakes::Wait(std::chrono::seconds(4)),
          fakes::Send("HTTP/1.1 200 OK\r\n" + IdOf(request) +
                      "X-Response-Seal: s\r\nContent-Length: 4\r\n\r\nbody"),
          fakes::Close()};
}

inline fakes::EndpointScript Fail(std::size_t /*endpoint*/,
                                  const HttpRequest& request) {
  return {fakes::Wait(std::chrono::milliseconds(20)),
          fakes::Send("HTTP/1.1 500 Internal Server Error\r\n" + IdOf(request) +
                      "X-Response-Seal: s\r\nContent-Length: 4\r\n\r\nfail"),
          fakes::Close()};
}

inline fakes::EndpointScript ResetBeforeHead(std::size_t /*endpoint*/,
                                             const HttpRequest& /*request*/) {
  return {fakes::Wait(std::chrono::milliseconds(20)), fakes::Reset()};
}

/// One event, then the connection is reset.
inline fakes::EndpointScript BreakStream(std::size_t /*endpoint*/,
                                         const HttpRequest& request) {
  return {fakes::Send(StreamHeadFor(request) + Part(Event(NextEvent(request)))),
          fakes::Wait(std::chrono::milliseconds(30)), fakes::Reset()};
}

}  // namespace sycamoreford::support
