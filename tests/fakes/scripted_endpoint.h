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

/// One action of a scripted endpoint on a connection.
struct EndpointStep {
  enum class Kind {
    /// Sends `bytes`.
    kSend,
    /// Waits for `duration`.
    kWait,
    /// Shuts down the sending side, i.e. ends the connection regularly.
    kClose,
    /// Resets the connection.
    kReset,
    /// Waits until the peer closes the connection.
    kWaitForClose,
    /// Makes the whole endpoint silent for `duration`.
    kFallSilent,
    /// Refuses all further connections.
    kStopListening,
    /// Sends `bytes` again and again, with a pause of `duration`, until the
    /// peer
    /// closes the connection.
    kSendForever,
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
/// The endpoint reads and sends nothing for `duration`, on all connections
/// including those for `/report`, and then goes on. New connections are
/// established by its operating system, as for a frozen process.
[[nodiscard]] EndpointStep FallSilent(std::chrono::milliseconds duration);

/// The endpoint refuses all further connections; those that are open go on.
[[nodiscard]] EndpointStep StopListening();

/// The endpoint sends these bytes without end, until the peer closes.
[[nodiscard]] EndpointStep SendForever(
    std::string bytes,
    std::chrono::milliseconds pause = std::chrono::milliseconds(0));

/// An endpoint that reads requests and responds according to a script, also
/// with malformed bytes.
///
/// Thread safety: `requests` and `closed_by_peer_count` may be called from any
/// thread, the other functions only before the context runs.
class ScriptedEndpoint {
 public:
  /// Listens on a free port of the loopback interface.
  explicit ScriptedEndpoint(boost::asio::io_context& context);

  /// Refuses all connections from now on.
  void StopListening();

  /// Adds the script for the next request that has none yet. The last script is
  /// used for all further requests as well.
  void AddScript(EndpointScript script) {
    scripts_.push_back(std::move(script));
  }

  /// Sets a function that returns the script for each request, instead of those
  /// added by `AddScript`.
  void SetResponder(std::function<EndpointScript(const HttpRequest&)> respond) {
    responder_ = std::move(respond);
  }

  /// Sets a function that returns the script for each request for `/report`,
  /// instead of `report` and `report_script`.
  void SetReportResponder(std::function<EndpointScript()> respond) {
    report_responder_ = std::move(respond);
  }

  [[nodiscard]] std::string address() const;

  /// The requests received so far, without those for `/report`.
  [[nodiscard]] std::vector<HttpRequest> requests() const;

  /// Number of connections that the peer closed during `WaitForClose` or
  /// `SendForever`.
  [[nodiscard]] int closed_by_peer_count() const;

  /// Response body for `/report`; if empty, the connection is reset instead.
  std::string report = "{}";
  /// Script for `/report`, instead of `report`, unless empty.
  EndpointScript report_script;

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  /// Completes when the endpoint is not silent.
  boost::asio::awaitable<void> WaitWhileSilent();
  boost::asio::awaitable<void> RunScript(boost::asio::ip::tcp::socket& socket,
                                         const EndpointScript& script);
  EndpointScript NextScript(const HttpRequest& request);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  /// End of the silence; used by the thread of the context only.
  std::chrono::steady_clock::time_point silent_until_{};
  std::deque<EndpointScript> scripts_;
  std::function<EndpointScript(const HttpRequest&)> responder_;
  std::function<EndpointScript()> report_responder_;
  mutable std::mutex mutex_;
  std::vector<HttpRequest> requests_;
  int closed_by_peer_count_ = 0;
};

}  // namespace sycamoreford::fakes
