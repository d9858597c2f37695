// Engines that are faulty, slow or unresponsive: each response maps to a typed
// failure, the outcome is "not run" only if the response proves it, and no wait
// exceeds its timeout.
#include <thread>

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "support/run.h"
#include "sycamoreford/adapters/http_engine_client.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Accepts one connection and sends fixed bytes, whatever it receives.
class RawEngine {
 public:
  struct Options {
    std::string bytes;
    /// Sent every 20 ms after `bytes`, unless `closes` is set.
    std::string trickle;
    /// Whether the connection is closed after `bytes`, or stays open.
    bool closes = true;
    /// Whether the connection is reset before the request is read.
    bool resets = false;
  };

  explicit RawEngine(Options options)
      : options_(std::move(options)),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Serve(); }) {}
  ~RawEngine() {
    done_ = true;
    thread_.join();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    tcp::socket socket = acceptor_.accept();
    boost::system::error_code error;
    if (options_.resets) {
      socket.set_option(asio::socket_base::linger(true, 0));
      return;
    }
    std::string request(64UL * 1024, ' ');
    socket.read_some(asio::buffer(request), error);
    asio::write(socket, asio::buffer(options_.bytes), error);
    while (!done_ && !error && !options_.closes) {
      asio::write(socket, asio::buffer(options_.trickle), error);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  Options options_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> done_{false};
  std::thread thread_;
};

GenerateRequest GenerateRequestFor(const std::string& address) {
  GenerateRequest request;
  request.request_id = RequestId("r");
  request.messages = "[]";
  request.max_tokens = 4;
  request.chain = {{EndpointId("a"), address, {0, 4}}};
  return request;
}

/// Opens a stream and reads events until it fails.
asio::awaitable<Failure> OpenAndReadUntilFailure(std::string address,
                                                 milliseconds timeout) {
  HttpEngineClient client(milliseconds(200));
  const GenerateRequest request = GenerateRequestFor(address);
  auto stream = co_await client.Open(request, timeout);
  if (!stream) {
    co_return stream.error();
  }
  for (;;) {
    auto event = co_await stream->Next(timeout);
    if (!event) {
      co_return event.error();
    }
  }
}

Failure FailureFrom(RawEngine::Options options) {
  const RawEngine engine(std::move(options));
  Failure failure = support::Run(
      OpenAndReadUntilFailure(engine.address(), milliseconds(300)));
  REQUIRE(failure.where == engine.address());
  return failure;
}

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Start of a stream that does not end after `lines`.
std::string StreamStart(const std::string& lines) {
  return "HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n" + lines;
}

const std::string kToken =
    R"({"request":"r","attempt":1,"position":0,"token":" w"})"
    "\n";

TEST_CASE("the outcome is not run only if that is proved") {
  SECTION("no listener") {
    std::string address;
    {
      asio::io_context context;
      const tcp::acceptor closed(context,
                                 {asio::ip::address_v4::loopback(), 0});
      address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    const auto failure =
        support::Run(OpenAndReadUntilFailure(address, milliseconds(300)));
    REQUIRE(failure.code == Errc::kConnectionRefused);
    REQUIRE(failure.outcome == Outcome::kNotRun);
  }
  SECTION("a reset before the request is read") {
    const auto failure = FailureFrom({.resets = true});
    REQUIRE(failure.code == Errc::kConnectionLost);
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("a close after the request was read") {
    const auto failure = FailureFrom({.bytes = ""});
    REQUIRE(failure.code == Errc::kConnectionLost);
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("no response after the request was read") {
    const auto failure = FailureFrom({.closes = false});
    REQUIRE(failure.code == Errc::kStalled);
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("a typed refusal") {
    const auto failure = FailureFrom(
        {.bytes = Response("409 Conflict",
                           R"({"error":{"type":"overloaded","ran":false}})")});
    REQUIRE(failure.code == Errc::kEndpointRefused);
    REQUIRE(failure.outcome == Outcome::kNotRun);
  }
  SECTION("a truncated refusal") {
    const auto failure = FailureFrom(
        {.bytes = "HTTP/1.1 409 Conflict\r\ncontent-length: 100\r\n\r\n"
                  R"({"error":{"type":"overloaded","ran":false}})"});
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("a refusal that does not say whether it ran") {
    const auto failure =
        FailureFrom({.bytes = Response("409 Conflict",
                                       R"({"error":{"type":"overloaded"}})")});
    REQUIRE(failure.code == Errc::kBadEndpointAnswer);
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("an error page of a proxy") {
    const auto failure =
        FailureFrom({.bytes = Response("502 Bad Gateway", "<html></html>")});
    REQUIRE(failure.code == Errc::kBadEndpointAnswer);
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("a typed refusal inside a stream") {
    const auto failure = FailureFrom(
        {.bytes = StreamStart(R"({"error":{"type":"overloaded","ran":false}})"
                              "\n")});
    REQUIRE(failure.outcome == Outcome::kUnknown);
  }
  SECTION("a typed failure inside a stream") {
    const auto failure = FailureFrom(
        {.bytes = StreamStart(kToken +
                              R"({"error":{"type":"stage_failed","ran":true}})"
                              "\n")});
    REQUIRE(failure.code == Errc::kEndpointFailed);
    REQUIRE(failure.outcome == Outcome::kFailed);
  }
}

TEST_CASE("invalid responses are reported as bad endpoint answers") {
  std::string bytes;
  SECTION("not HTTP") {
    bytes = "\x01\x02 hello\r\n\r\n";
  }
  SECTION("a header that never ends") {
    bytes = "HTTP/1.1 200 OK\r\nx: " + std::string(100'000, 'x');
  }
  SECTION("invalid JSON") {
    bytes = StreamStart("{]\n");
  }
  SECTION("JSON that is not an object") {
    bytes = StreamStart("[1]\n");
  }
  SECTION("a position that is not a number") {
    bytes =
        StreamStart(R"({"request":"r","attempt":1,"position":"0","token":"w"})"
                    "\n");
  }
  SECTION("a negative position") {
    bytes =
        StreamStart(R"({"request":"r","attempt":1,"position":-1,"token":"w"})"
                    "\n");
  }
  SECTION("a token that is not a string") {
    bytes = StreamStart(R"({"request":"r","attempt":1,"position":0,"token":7})"
                        "\n");
  }
  SECTION("an error that is not an object") {
    bytes = StreamStart("{\"error\":1}\n");
  }
  SECTION("a line that never ends") {
    bytes = StreamStart(kToken + std::string(200'000, 'x'));
  }
  SECTION("deep nesting") {
    bytes = StreamStart(std::string(10'000, '[') + "\n");
  }
  const auto failure = FailureFrom({.bytes = bytes, .closes = false});
  REQUIRE(failure.code == Errc::kBadEndpointAnswer);
  REQUIRE(failure.outcome == Outcome::kUnknown);
}

TEST_CASE("a stream that ends without an end event is a lost connection") {
  const auto failure = FailureFrom({.bytes = Response("200 OK", kToken)});
  REQUIRE(failure.code == Errc::kConnectionLost);
  REQUIRE(failure.outcome == Outcome::kUnknown);
}

TEST_CASE("a trickle of bytes does not extend a timeout") {
  RawEngine::Options options{.trickle = "x", .closes = false};
  SECTION("in the header") {
    options.bytes = "HTTP/1.1 200 OK\r\nx: ";
  }
  SECTION("in a line") {
    options.bytes = StreamStart("");
  }
  SECTION("in a refusal") {
    options.bytes = "HTTP/1.1 409 Conflict\r\ncontent-length: 99999\r\n\r\n";
  }
  const auto before = std::chrono::steady_clock::now();
  const auto failure = FailureFrom(options);
  REQUIRE(failure.code == Errc::kStalled);
  REQUIRE(failure.outcome == Outcome::kUnknown);
  REQUIRE(std::chrono::steady_clock::now() - before < std::chrono::seconds(5));
}

/// Sends a request to an in-process server with the given handler.
Result<HttpResponse> FetchFromServer(HttpHandler handler) {
  asio::io_context context;
  HttpServer server(context, "127.0.0.1:0", {}, std::move(handler));
  std::thread thread([&] { context.run(); });
  const HttpRequest request;
  auto response = support::Run(
      FetchHttp(server.address(), request, std::chrono::seconds(2), 1'000));
  context.stop();
  thread.join();
  return response;
}

TEST_CASE("an exception in a handler does not block the caller") {
  SECTION("before the response was started") {
    const auto response =
        FetchFromServer([](HttpExchange&) -> asio::awaitable<void> {
          throw std::runtime_error("fault");
          co_return;
        });
    REQUIRE(response.has_value());
    REQUIRE(response->status == 500);
    REQUIRE(response->body.find(R"("outcome":"unknown")") != std::string::npos);
  }
  SECTION("after the response was started") {
    const auto response =
        FetchFromServer([](HttpExchange& exchange) -> asio::awaitable<void> {
          const HttpResponse header;
          co_await exchange.BeginStream(header);
          throw std::runtime_error("fault");
        });
    REQUIRE_FALSE(response.has_value());
    REQUIRE(response.error().code == Errc::kConnectionLost);
  }
}

}  // namespace
}  // namespace sycamoreford
