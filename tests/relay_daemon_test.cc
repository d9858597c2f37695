// Requests that are in flight at a relay daemon while it stops or reads its
// settings again. The daemon is a process of its own.
#include <catch2/catch.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <optional>
#include <thread>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "fakes/scripted_endpoint.h"
#include "support/event_stream.h"
#include "support/process.h"
#include "support/raw_connection.h"
#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;
using fakes::Close;
using fakes::EndpointScript;
using fakes::Send;
using fakes::Wait;
using std::chrono::milliseconds;
using support::ParseResponse;
using support::RawConnection;

constexpr const char* kConfiguration =
    R"({"Version":1,"Services":[{"Name":"plain"}],"Routes":[{"Name":"once",)"
    R"("Host":"a.example","PathPrefix":"/once/","Kind":"unsafe",)"
    R"("TimeoutMs":5000,"TargetLatencyMs":500,"Service":"plain"}]})";

std::string FreeAddress() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context,
                                         {asio::ip::address_v4::loopback(), 0});
  return impl::ToAddress(acceptor.local_endpoint());
}

std::string EncodeBase64(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

EndpointScript Answer(const std::string& body, milliseconds delay) {
  return {Wait(delay),
          Send("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body),
          Close()};
}

/// A row of the store as JSON.
std::string Row(const std::string& key, const std::string& base64_value) {
  return json::serialize(json::object{
      {"Key", key}, {"Value", base64_value}, {"ObjectVersion", 1}});
}

/// The value of a parameter in the query of `target`; empty if it is missing.
std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find("&" + name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 2;
  const std::string escaped =
      target.substr(begin, target.find('&', begin) - begin);
  std::string value;
  for (std::size_t i = 0; i < escaped.size(); ++i) {
    if (escaped[i] == '%') {
      value += static_cast<char>(std::stoi(escaped.substr(i + 1, 2), {}, 16));
      i += 2;
    } else {
      value += escaped[i];
    }
  }
  return value;
}

template <class Condition>
bool WaitUntil(Condition condition) {
  for (int i = 0; i < 1'000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

/// A relay daemon with a store and one endpoint of a plain service.
class RunningDaemon {
 public:
  /// Time that the store takes for a write.
  static constexpr milliseconds kWriteTime{600};

  explicit RunningDaemon(milliseconds answer_time,
                         std::vector<std::string> arguments = {}) {
    store_.SetResponder(
        [this](const HttpRequest& request) { return RespondAsStore(request); });
    endpoint.AddScript(Answer("booked", answer_time));
    WriteSettings(store_.address());
    arguments.insert(arguments.end(), {"--settings", path_});
    process.emplace("sycamore-relayd", std::move(arguments));
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RunningDaemon() {
    context_.stop();
    thread_.join();
    std::remove(path_.c_str());
  }
  RunningDaemon(const RunningDaemon&) = delete;
  RunningDaemon& operator=(const RunningDaemon&) = delete;

  [[nodiscard]] bool IsReady() const {
    const auto response = support::Fetch(ready_, {}, milliseconds(500));
    return response && response->status == 200;
  }

  void WriteSettings(const std::string& store) const {
    const std::size_t colon = internal_.rfind(':');
    std::ofstream(path_) << "NodeName=front-1\nZone=north\nIp="
                         << internal_.substr(0, colon)
                         << "\nListen.Front=" << callers
                         << "\nListen.Ready=" << ready_
                         << "\nListen.Control=" << peers_
                         << "\nInternalPorts=" << internal_.substr(colon + 1)
                         << "\nPlatform.Address=" << store
                         << "\nBounds.GraceS=4\nBounds.RetryBudgetRatio=0.2\n"
                            "Bounds.BudgetExtra=10\nBounds.BudgetWindowS=10\n";
  }

  [[nodiscard]] bool IsListening() const {
    try {
      const RawConnection connection(callers);
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

 private:
  EndpointScript RespondAsStore(const HttpRequest& request) {
    const std::string& target = request.target;
    const auto has = [&](const std::string& part) {
      return target.find(part) != std::string::npos;
    };
    if (has("/rows-tx")) {
      const json::value transaction = json::parse(request.body);
      for (const json::value& write : transaction.at("SetKeys").as_array()) {
        own_rows_[std::string(write.at("Key").as_string())] =
            std::string(write.at("Value").as_string());
      }
      return Answer("{}", kWriteTime);
    }
    std::string rows;
    if (has("Table=op")) {
      rows = Row("config", EncodeBase64(kConfiguration));
    } else if (has("Table=servers")) {
      rows = Row(
          "p1",
          EncodeBase64(R"({"Service":"plain","State":"ready","Zone":"north",)"
                       R"("Address":")" +
                       endpoint.address() + "\"}"));
    } else {
      for (const auto& [key, value] : own_rows_) {
        if (key >= Parameter(target, "From") && key < Parameter(target, "To")) {
          rows += (rows.empty() ? "" : ",") + Row(key, value);
        }
      }
    }
    return Answer(R"({"ObjectVersion":1,"Rows":[)" + rows + "]}",
                  milliseconds(has("/rows-feed") ? 300 : 0));
  }

  asio::io_context context_{1};
  fakes::ScriptedEndpoint store_{context_};
  /// Rows that the daemon wrote, in base64.
  std::map<std::string, std::string> own_rows_;
  std::thread thread_;
  std::string path_ =
      "/tmp/sycamoreford-relayd-" + std::to_string(getpid()) + ".settings";
  std::string ready_ = FreeAddress();
  std::string peers_ = FreeAddress();
  std::string internal_ = FreeAddress();

 public:
  fakes::ScriptedEndpoint endpoint{context_};
  std::string callers = FreeAddress();
  std::optional<support::Process> process;
};

std::string Request() {
  return "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
         "X-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody";
}

TEST_CASE("a daemon that hands over answers a request or leaves it unread") {
  RunningDaemon daemon(milliseconds(800));
  REQUIRE(WaitUntil([&] { return daemon.IsReady(); }));
  RawConnection connection(daemon.callers);
  connection.Send(Request());
  REQUIRE(connection.ReadUntil("booked").find("booked") != std::string::npos);
  connection.DiscardReceived();
  REQUIRE(WaitUntil([&] {
    return daemon.process->Output().find("lease_taken") != std::string::npos;
  }));
  daemon.process->Signal(SIGTERM);
  REQUIRE(WaitUntil([&] { return !daemon.IsListening(); }));

  // Within the grace for idle connections, and after the hand-over has begun.
  std::this_thread::sleep_for(milliseconds(200));
  connection.Send(Request());
  const auto response = ParseResponse(connection.ReadAll());
  const bool was_forwarded = daemon.endpoint.requests().size() == 2;
  CAPTURE(daemon.process->Output());
  REQUIRE((response.body == "booked" || !was_forwarded));
}

TEST_CASE("a store address that cannot be parsed does not end the daemon") {
  const std::string address = GENERATE("store.example:80", "127.0.0.1", "x");
  CAPTURE(address);
  RunningDaemon daemon(milliseconds(1'500));
  REQUIRE(WaitUntil([&] { return daemon.IsReady(); }));
  RawConnection connection(daemon.callers);
  connection.Send(Request());
  REQUIRE(WaitUntil([&] { return daemon.endpoint.requests().size() == 1; }));
  daemon.WriteSettings(address);
  daemon.process->Signal(SIGHUP);

  const std::string received = connection.ReadUntil("booked");
  CAPTURE(daemon.process->Output());
  REQUIRE(received.find("booked") != std::string::npos);
  REQUIRE(daemon.IsListening());
  CHECK(daemon.process->Output().find("settings_refused") != std::string::npos);
}

TEST_CASE("metrics are served at a fixed port") {
  const std::string address = FreeAddress();
  const std::string port = address.substr(address.rfind(':') + 1);
  HttpRequest request;
  request.target = "/metrics";
  SECTION("if it is free") {
    const RunningDaemon daemon(milliseconds(0), {"--metrics-port", port});
    REQUIRE(WaitUntil([&] { return daemon.IsReady(); }));
    const auto response = support::Fetch(address, request, milliseconds(500));
    REQUIRE(response.has_value());
    CHECK(response->body.find("sycamoreford_relay_daemons") !=
          std::string::npos);
  }
  SECTION("and a port in use does not keep the daemon from serving") {
    asio::io_context context;
    const asio::ip::tcp::acceptor other(context, impl::ParseAddress(address));
    const RunningDaemon daemon(milliseconds(0), {"--metrics-port", port});
    const bool is_ready = WaitUntil([&] { return daemon.IsReady(); });
    CAPTURE(daemon.process->Output());
    CHECK(is_ready);
    CHECK(daemon.process->Output().find("metrics_port_unavailable") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace sycamoreford
