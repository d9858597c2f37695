#pragma once

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "fakes/scripted_endpoint.h"
#include "impl/parse_address.h"
#include "support/process.h"
#include "support/test_deployment.h"

namespace sycamoreford::support {

/// Relay daemons as processes, each with a path of its own to a store that all
/// share, one endpoint of a plain service, and a sound one of another.
///
/// Thread safety: none; the store runs on a thread of its own.
class RelayFleet {
 public:
  /// How the store responds to one daemon.
  enum class Access {
    kServed,
    /// Status 503, which says that nothing was done.
    kRefused,
    /// No response.
    kSilent,
    /// Status 503 for the rows of the daemons.
    kWithoutDaemons,
    /// No response about the configuration.
    kWithoutConfiguration,
  };

  struct Daemon {
    explicit Daemon(boost::asio::io_context& context) : store(context) {}

    fakes::ScriptedEndpoint store;
    Access access = Access::kServed;
    std::string settings_path;
    std::string callers;
    std::string ready;
    std::string seeds;
    std::string internal;
    std::optional<Process> process;
  };

  /// Returns how the endpoint responds to a request; called on the thread of
  /// the store.
  using Responder = std::function<fakes::EndpointScript(const HttpRequest&)>;

  explicit RelayFleet(
      std::size_t count,
      Responder respond = [](const HttpRequest&) {
        return SealedResponse(std::chrono::milliseconds(0));
      }) {
    endpoint_.SetResponder(std::move(respond));
    other_endpoint_.SetResponder([](const HttpRequest&) {
      return SealedResponse(std::chrono::milliseconds(0));
    });
    for (std::size_t i = 0; i < count; ++i) {
      AddDaemon(i);
    }
    thread_ = std::thread([this] { context_.run(); });
    other_thread_ = std::thread([this] { other_context_.run(); });
  }
  ~RelayFleet() {
    for (const auto& daemon : daemons_) {
      daemon->process.reset();
    }
    context_.stop();
    thread_.join();
    other_context_.stop();
    other_thread_.join();
  }
  RelayFleet(const RelayFleet&) = delete;
  RelayFleet& operator=(const RelayFleet&) = delete;

  /// Writes a configuration to the store.
  ///
  /// \param text in the format of the platform, with the field `Version`.
  void Write(const std::string& text) {
    const std::lock_guard lock(mutex_);
    configuration_ = EncodeBase64(text);
    ++version_;
  }

  void SetAccess(std::size_t daemon, Access access) {
    const std::lock_guard lock(mutex_);
    daemons_[daemon]->access = access;
  }

  /// Writes the settings file of a daemon.
  ///
  /// \param seeds addresses of other daemons for the start.
  void WriteSettings(std::size_t index,
                     const std::string& seeds,
                     std::chrono::seconds stop_grace) {
    const Daemon& daemon = *daemons_[index];
    const std::size_t colon = daemon.internal.rfind(':');
    std::ofstream(daemon.settings_path)
        << "NodeName=front-" << index
        << "\nZone=north\nIp=" << daemon.internal.substr(0, colon)
        << "\nListen.Front=" << daemon.callers
        << "\nListen.Ready=" << daemon.ready
        << "\nListen.Control=" << daemon.seeds << "\nSeeds=" << seeds
        << "\nInternalPorts=" << daemon.internal.substr(colon + 1)
        << "\nPlatform.Address=" << daemon.store.address()
        << "\nBounds.GraceS=" << stop_grace.count()
        << "\nBounds.RetryBudgetRatio=0.2\n"
           "Bounds.BudgetExtra=10\nBounds.BudgetWindowS=10\n";
  }

  /// Starts a daemon, with a grace of 4 s for planned stops.
  void Start(std::size_t index, const std::string& seeds = "") {
    Daemon& daemon = *daemons_[index];
    WriteSettings(index, seeds, std::chrono::seconds(4));
    daemon.process.reset();
    daemon.process.emplace(
        "sycamore-relayd",
        std::vector<std::string>{"--settings", daemon.settings_path});
  }

  /// Status of the response to a request of a caller; 0 without one.
  [[nodiscard]] unsigned Ask(std::size_t daemon,
                             const std::string& path,
                             const std::string& key = "") const {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(++requests_));
    if (!key.empty()) {
      request.fields.Add("Api-Key", key);
    }
    const auto response = Fetch(daemons_[daemon]->callers, request,
                                std::chrono::milliseconds(1'000));
    return response ? response->status : 0;
  }

  [[nodiscard]] bool IsReady(std::size_t daemon) const {
    const auto response =
        Fetch(daemons_[daemon]->ready, {}, std::chrono::milliseconds(500));
    return response && response->status == 200;
  }

  /// Value of a metric of a daemon; 0 if it has none.
  [[nodiscard]] double Metric(std::size_t daemon,
                              const std::string& name) const {
    HttpRequest request;
    request.target = "/metrics";
    const auto response = Fetch(daemons_[daemon]->internal, request,
                                std::chrono::milliseconds(1'000));
    const std::string text = response ? "\n" + response->body : "";
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + name.size() + 2));
  }

  [[nodiscard]] std::uint64_t RevisionOf(std::size_t daemon) const {
    return static_cast<std::uint64_t>(
        Metric(daemon, "sycamoreford_relay_config_revision"));
  }

  /// The requests that have reached the endpoint.
  [[nodiscard]] std::vector<HttpRequest> requests_at_endpoint() const {
    return endpoint_.requests();
  }
  /// Number of requests that have reached the endpoint.
  [[nodiscard]] std::size_t endpoint_requests() const {
    return endpoint_.requests().size();
  }

  [[nodiscard]] Daemon& daemon(std::size_t index) { return *daemons_[index]; }
  [[nodiscard]] std::size_t size() const noexcept { return daemons_.size(); }

  /// A response that is trusted, after `delay`.
  static fakes::EndpointScript SealedResponse(std::chrono::milliseconds delay) {
    return {fakes::Wait(delay),
            fakes::Send("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                        "Content-Length: 4\r\n\r\ndone"),
            fakes::Close()};
  }

  static std::string EncodeBase64(std::string_view bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
  }

 private:
  /// How often a waiting poll of the store looks for changes.
  static constexpr std::chrono::milliseconds kPollTime{100};

  /// A free port below those that the system gives to connections, so that it
  /// is still free when a daemon starts again.
  std::string FreeAddress(const std::string& ip) {
    constexpr std::uint16_t kFirstPort = 12'000;
    constexpr std::uint16_t kLastPort = 30'000;
    std::uniform_int_distribution<std::uint16_t> port(kFirstPort, kLastPort);
    for (;;) {
      const boost::asio::ip::tcp::endpoint endpoint(
          boost::asio::ip::make_address(ip), port(random_));
      boost::asio::ip::tcp::acceptor acceptor(context_, endpoint.protocol());
      boost::system::error_code error;
      acceptor.bind(endpoint, error);
      if (!error && ports_.insert(endpoint.port()).second) {
        return impl::ToAddress(endpoint);
      }
    }
  }

  void AddDaemon(std::size_t index) {
    auto daemon = std::make_unique<Daemon>(context_);
    // All daemons are known by their host, whatever it connects from.
    const std::string ip = "127.0.0.1";
    daemon->settings_path = "/tmp/sycamoreford-fleet-" +
                            std::to_string(getpid()) + "-" +
                            std::to_string(index) + ".settings";
    daemon->callers = FreeAddress(ip);
    daemon->ready = FreeAddress(ip);
    daemon->seeds = FreeAddress(ip);
    daemon->internal = FreeAddress(ip);
    daemon->store.SetResponder(
        [this, it = daemon.get()](const HttpRequest& request) {
          return Respond(*it, request);
        });
    daemons_.push_back(std::move(daemon));
  }

  static fakes::EndpointScript Answer(unsigned status,
                                      const std::string& body,
                                      std::chrono::milliseconds delay) {
    return {fakes::Wait(delay),
            fakes::Send("HTTP/1.1 " + std::to_string(status) +
                        " OK\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body),
            fakes::Close()};
  }

  static std::string Row(const std::string& key,
                         const std::string& base64_value,
                         std::uint64_t version) {
    return boost::json::serialize(boost::json::object{
        {"Key", key}, {"Value", base64_value}, {"ObjectVersion", version}});
  }

  static std::string EndpointRow(const std::string& id,
                                 const std::string& service,
                                 const fakes::ScriptedEndpoint& endpoint) {
    return Row(id,
               EncodeBase64(R"({"Service":")" + service +
                            R"(","State":"ready","Zone":"north","Address":")" +
                            endpoint.address() + "\"}"),
               1);
  }

  fakes::EndpointScript Respond(const Daemon& daemon,
                                const HttpRequest& request) {
    const std::lock_guard lock(mutex_);
    switch (daemon.access) {
      case Access::kServed:
        break;
      case Access::kRefused:
        return Answer(503, "{}", std::chrono::milliseconds(0));
      case Access::kSilent:
        return {fakes::WaitForClose()};
      case Access::kWithoutDaemons:
        if (request.target.find("/rows-tx") != std::string::npos ||
            request.target.find("From=daemon") != std::string::npos) {
          return Answer(503, "{}", std::chrono::milliseconds(0));
        }
        break;
      case Access::kWithoutConfiguration:
        if (request.target.find("Table=op") != std::string::npos) {
          return {fakes::WaitForClose()};
        }
        break;
    }
    const std::string& target = request.target;
    const auto has = [&](const std::string& part) {
      return target.find(part) != std::string::npos;
    };
    std::chrono::milliseconds delay{0};
    std::string rows;
    if (has("/rows-tx")) {
      const boost::json::value transaction = boost::json::parse(request.body);
      for (const auto& write : transaction.at("SetKeys").as_array()) {
        own_rows_[std::string(write.at("Key").as_string())] = {
            std::string(write.at("Value").as_string()), ++own_version_};
      }
    } else if (has("Table=op")) {
      const std::size_t after = target.find("AfterRevision=");
      if (after != std::string::npos &&
          std::stoull(target.substr(after + 14)) >= version_) {
        delay = kPollTime;
      } else if (!configuration_.empty()) {
        rows = Row("config", configuration_, version_);
      }
    } else if (has("Table=servers")) {
      delay = has("/rows-feed") ? std::chrono::milliseconds(300) : delay;
      rows = EndpointRow("p1", "plain", endpoint_) + "," +
             EndpointRow("o1", "other", other_endpoint_);
    } else if (has("From=daemon")) {
      for (const auto& [key, row] : own_rows_) {
        if (key.starts_with("daemon/")) {
          rows += (rows.empty() ? "" : ",") + Row(key, row.first, row.second);
        }
      }
    }
    return Answer(200,
                  R"({"ObjectVersion":)" + std::to_string(version_) +
                      R"(,"Rows":[)" + rows + "]}",
                  delay);
  }

  std::random_device random_;
  std::set<std::uint16_t> ports_;
  boost::asio::io_context context_{1};
  fakes::ScriptedEndpoint endpoint_{context_};
  /// Of the service `other`; always sound, and on a thread of its own, whatever
  /// the other stand-ins send.
  boost::asio::io_context other_context_{1};
  fakes::ScriptedEndpoint other_endpoint_{other_context_};
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::mutex mutex_;
  /// Guarded by `mutex_`, as the access of daemons: the configuration in
  /// base64, and rows that the daemons wrote.
  std::string configuration_;
  std::uint64_t version_ = 1;
  std::map<std::string, std::pair<std::string, std::uint64_t>> own_rows_;
  std::uint64_t own_version_ = 0;
  mutable std::uint64_t requests_ = 0;
  std::thread thread_;
  std::thread other_thread_;
};

}  // namespace sycamoreford::support
