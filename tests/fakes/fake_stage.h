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

/// How a stage misbehaves.
enum class StageFault {
  kNone,
  /// Answers nothing until the fault is lifted, then goes on.
  kFreeze,
  /// Refuses new orders, typed, as not run.
  kRefuse,
  /// Closes connections in the middle of an answer.
  kDropConnection,
  /// Sends bytes that are no message.
  kMalformed,
  /// Sends every token twice.
  kDuplicateToken,
  /// Sends tokens under another request's identity.
  kWrongRequest,
  /// Leaves the end marker out.
  kMissingEnd,
};

/// What a stage is and how fast.
struct StageOptions {
  std::string listen = "127.0.0.1:0";
  std::string model = "m";
  std::string version = "1";
  std::uint32_t first_layer = 0;
  std::uint32_t end_layer = 1;
  /// Tokens each second through its layers, all requests together.
  double tokens_per_second = 1000;
  /// Time that a token takes beyond its share of the throughput.
  std::chrono::microseconds latency{0};
  /// One-way time on the link to the next stage.
  std::chrono::microseconds link_delay{0};
  /// Whether it refuses orders with an old fencing number.
  bool checks_fencing = true;
};

/// A step that a stage ran; the oracle's evidence.
struct ExecutedStep {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint32_t position = 0;
};

/// A model stage in this process: an HTTP server that holds a range of layers.
///
/// Thread safety: run its context on one thread; use `executed_steps` and
/// `set_fault` from that thread or over HTTP (`/fake/ran`, `/fake/fault`).
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
  /// Highest attempt seen and next position by request.
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> progress_;
  /// Attempt and connection to the next stage, by request.
  std::map<std::string, std::pair<std::uint32_t, std::shared_ptr<Connection>>>
      connections_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sycamoreford::fakes
