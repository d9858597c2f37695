#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sycamoreford/adapters/http_message.h"

namespace sycamoreford::fakes {

/// One thing that a scripted endpoint does with a connection.
struct EndpointStep {
  enum class Kind {
    /// Sends these bytes.
    kSend,
    /// Waits.
    kWait,
    /// Ends the connection in order.
    kClose,
    /// Resets the connection.
    kReset,
    /// Waits until the other end closes.
    kWaitForClose,
  };
  Kind kind = Kind::kSend;
  std::string bytes{};
  std::chrono::milliseconds duration{0};
};

using EndpointScript = std::vector<EndpointStep>;

[[nodiscard]] EndpointStep Send(std::string bytes);
[[nodiscard]] EndpointStep Wait(std::chrono::milliseconds duration);
[[nodiscard]] EndpointStep Close();
[[nodiscard]] EndpointStep Reset();
[[nodiscard]] EndpointStep WaitForClose();

/// An endpoint that reads requests and answers with any bytes.
///
/// Thread safety: `requests` and `closed_by_peer_count` may be called from any
/// thread, the rest before the context runs.
class ScriptedEndpoint {
 public:
  /// Listens on a free port of the loopback.
  explicit ScriptedEndpoint(boost::asio::io_context& context);

  /// Answers the next request that has no script yet; the last script answers
  /// all further ones.
  void AddScript(EndpointScript script) {
    scripts_.push_back(std::move(script));
  }

  /// Answers depending on the request; goes before scripts.
  void SetResponder(std::function<EndpointScript(const HttpRequest&)> respond) {
    responder_ = std::move(respond);
  }

  [[nodiscard]] std::string address() const;

  /// Requests so far, without those for reports.
  [[nodiscard]] std::vector<HttpRequest> requests() const;

  /// Connections that the other end closed while the endpoint held them.
  [[nodiscard]] int closed_by_peer_count() const;

  /// What `GET /report` answers; empty resets the connection.
  std::string report = "{}";

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> RunScript(boost::asio::ip::tcp::socket& socket,
                                         const EndpointScript& script);
  EndpointScript NextScript(const HttpRequest& request);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::deque<EndpointScript> scripts_;
  std::function<EndpointScript(const HttpRequest&)> responder_;
  mutable std::mutex mutex_;
  std::vector<HttpRequest> requests_;
  int closed_by_peer_count_ = 0;
};

}  // namespace sycamoreford::fakes
