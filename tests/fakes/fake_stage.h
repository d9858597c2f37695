#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford::fakes {

/// A fault that a fake stage injects.
enum class StageFault {
  kNone,
  /// Sends no responses until the fault is removed, then continues.
  kFreeze,
  /// Refuses new generate requests with a typed error that says not run.
  kRefuse,
  /// Closes the connection in the middle of an answer.
  kDropConnection,
  /// Sends bytes that are not valid JSON.
  kMalformed,
  /// Sends every token twice.
  kDuplicateToken,
  /// Sends tokens with the id of another request.
  kWrongRequest,
  /// Omits the end marker.
  kMissingEnd,
};

/// Configuration of a fake stage.
struct StageOptions {
  std::string listen = "127.0.0.1:0";
  std::string model = "m";
  std::string version = "1";
  std::uint32_t first_layer = 0;
  std::uint32_t end_layer = 1;
  /// Tokens per second through its layers, over all requests.
  double tokens_per_second = 1000;
  /// Latency of a token in addition to the time that the throughput implies.
  std::chrono::microseconds latency{0};
  /// One-way network delay to the next stage.
  std::chrono::microseconds link_delay{0};
  /// Whether it refuses orders with an outdated fencing token.
  bool checks_fencing = true;
};

/// A decode step that a stage ran; tests check that no step ran twice.
struct ExecutedStep {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint32_t position = 0;
};

/// A model stage in this process: an HTTP server that runs a range of layers of
/// FakeModel.
///
/// Thread safety: none. Run the io_context on one thread; use `executed_steps`
/// and `set_fault` from that thread or over HTTP (`/fake/ran`, `/fake/fault`).
class FakeStage {
 public:
  FakeStage(boost::asio::io_context& context, StageOptions options);
  ~FakeStage();

  [[nodiscard]] std::string address() const { return server_->address(); }
  [[nodiscard]] const std::deque<ExecutedStep>& executed_steps() const {
    return executed_steps_;
  }
  void set_fault(StageFault fault) { fault_ = fault; }
  void set_tokens_per_second(double rate) { options_.tokens_per_second = rate; }
  void set_layers(std::uint32_t first, std::uint32_t end) {
    options_.first_layer = first;
    options_.end_layer = end;
  }
  void set_leaving(bool leaving) { leaving_ = leaving; }

 private:
  class Connection;
  using Json = boost::json::value;

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  boost::asio::awaitable<void> Generate(HttpExchange& exchange,
                                        const Json& request);
  boost::asio::awaitable<void> SendTokens(HttpExchange& exchange,
                                          const Json& request,
                                          Connection* connection);
  boost::asio::awaitable<std::string> RunStep(const Json& step,
                                              Connection* connection);
  std::shared_ptr<Connection> ConnectionFor(
      const Json& step,
      const boost::asio::any_io_executor& executor);
  boost::asio::awaitable<void> WaitForCapacity(double tokens);
  boost::asio::awaitable<void> WaitWhileFrozen();
  HttpResponse ApplyOrder(const Json& order);
  HttpResponse StateResponse() const;
  HttpResponse ExecutedStepsResponse() const;
  void SetFault(const Json& fault);
  [[nodiscard]] bool HasLayers(const Json& stage) const;
  [[nodiscard]] bool ServesVersion(const Json& request) const;

  boost::asio::io_context& context_;
  StageOptions options_;
  StageFault fault_ = StageFault::kNone;
  bool leaving_ = false;
  std::uint64_t fencing_ = 0;
  std::string last_order_;
  std::vector<std::string> adapters_;
  std::uint32_t active_ = 0;
  std::chrono::steady_clock::time_point busy_until_{};
  std::deque<ExecutedStep> executed_steps_;
  /// Newest attempt and next token position, by request.
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> progress_;
  /// Attempt and its connection to the next stage, by request.
  std::map<std::string, std::pair<std::uint32_t, std::shared_ptr<Connection>>>
      connections_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sycamoreford::fakes
