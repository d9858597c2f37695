#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/process.h"
#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford::support {

/// Sends a request and blocks until the complete response or a failure.
[[nodiscard]] Result<HttpResponse> Fetch(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Sends a POST with a JSON body to a fake.
Result<HttpResponse> Post(const std::string& address,
                          const std::string& target,
                          const std::string& body);

/// A stage or service process and its listening address.
struct TestEndpoint {
  Process process;
  std::string name;
  std::string address;
};

/// A small deployment of real processes: a fake of the platform's table
/// service, two chains of three fake model stages, a fake plain service with
/// two replicas, and entry daemons.
///
/// The customers `ringers` and `students` have the keys `ringers-key` and
/// `students-key`; the operator's token is `operator-token`; the model is
/// `bell-llm` with 12 layers; the service is `rota-app`.
class TestDeployment {
 public:
  struct Options {
    int daemons = 1;
    /// Latency of one token at a stage.
    std::chrono::microseconds latency{1000};
    /// Members added to `limits` in the daemons' settings, as JSON text.
    std::string limits = R"("drain_notice_ms": 100)";
    /// Members added to `table` in the daemons' settings, as JSON text.
    std::string table = R"("poll_interval_ms": 200, "timeout_ms": 500)";
  };

  explicit TestDeployment(const Options& options);
  ~TestDeployment();

  /// Starts another daemon with the peer addresses of the earlier ones as
  /// seeds; returns its index.
  std::size_t StartDaemon();

  /// Applies a change, an ApplyRequest as JSON, through a daemon; returns the
  /// exit code of sycamorectl and stores its output in `output`.
  int Apply(std::size_t daemon,
            const std::string& json,
            std::string* output = nullptr);

  /// Runs sycamorectl against a daemon; returns its exit code.
  int RunSycamorectl(std::size_t daemon,
                     std::vector<std::string> arguments,
                     std::string* output = nullptr);

  /// Waits until a daemon reports this revision in force; throws
  /// std::runtime_error after 13 seconds.
  void WaitForRevision(std::size_t daemon, std::uint64_t revision);

  /// A chat request, by default of the customer `ringers`.
  [[nodiscard]] static HttpRequest ChatRequest(
      const std::string& content,
      std::uint32_t max_tokens,
      bool stream,
      const std::string& key = "ringers-key");

  /// The messages of `ChatRequest`, as the stages receive them.
  [[nodiscard]] static std::string ChatMessages(const std::string& content);

  /// The text that the model generates for `ChatRequest`.
  [[nodiscard]] static std::string ExpectedAnswer(const std::string& content,
                                                  std::uint32_t max_tokens);

  /// The text of an answer, streamed or not; nullopt for an error or a stream
  /// without an end marker.
  [[nodiscard]] static std::optional<std::string> AnswerText(
      const HttpResponse& response);

  [[nodiscard]] const std::string& caller_address(std::size_t daemon) const {
    return caller_addresses_.at(daemon);
  }
  [[nodiscard]] const std::string& operator_address(std::size_t daemon) const {
    return operator_addresses_.at(daemon);
  }
  [[nodiscard]] const std::string& peer_address(std::size_t daemon) const {
    return peer_addresses_.at(daemon);
  }
  [[nodiscard]] const std::string& table_address() const {
    return table_address_;
  }
  /// Stages `a0`, `a1`, `a2`, `b0`, `b1`, `b2`.
  [[nodiscard]] TestEndpoint& stage(const std::string& name) {
    return *stages_.at(name);
  }
  [[nodiscard]] TestEndpoint& service(std::size_t index) {
    return *services_.at(index);
  }
  [[nodiscard]] Process& daemon(std::size_t index) {
    return *daemons_.at(index);
  }
  /// The pool of stages as JSON, for tests that apply a modified copy.
  [[nodiscard]] std::string StagePoolJson() const;

 private:
  Options options_;
  std::string directory_;
  std::optional<Process> table_process_;
  std::string table_address_;
  std::map<std::string, std::optional<TestEndpoint>> stages_;
  std::vector<std::optional<TestEndpoint>> services_;
  std::vector<std::optional<Process>> daemons_;
  std::vector<std::string> caller_addresses_;
  std::vector<std::string> operator_addresses_;
  std::vector<std::string> peer_addresses_;
};

}  // namespace sycamoreford::support
