// The end of idle connections: a request that crosses it, and changes of the
// idle timeout.
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "support/raw_connection.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/pause.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using support::RawConnection;

const std::string kRequest =
    "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody";
const std::string kAnswer = "answered";

/// Less than the time for which a server waits for the client's close.
constexpr milliseconds kResetTimeout{600};

/// Duration of a stream.
constexpr milliseconds kStreamTime{200};
const std::string kStreamRequest =
    "POST /stream HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";

/// A server that answers every request at once, except for streams.
class AnsweringServer {
 public:
  explicit AnsweringServer(milliseconds idle_timeout)
      : server_(context_,
                "127.0.0.1:0",
                HttpLimits{.idle_timeout = idle_timeout},
                [this](HttpExchange& exchange) { return Answer(exchange); }),
        thread_([this] { context_.run(); }) {}
  ~AnsweringServer() {
    context_.stop();
    thread_.join();
  }
  AnsweringServer(const AnsweringServer&) = delete;
  AnsweringServer& operator=(const AnsweringServer&) = delete;

  /// Replaces the idle timeout and returns when it is in force.
  void SetIdleTimeout(milliseconds idle_timeout) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      server_.SetLimits(HttpLimits{.idle_timeout = idle_timeout});
      done.set_value();
    });
    done.get_future().wait();
  }

  [[nodiscard]] HttpServer& server() { return server_; }
  [[nodiscard]] int answer_count() const { return answer_count_; }

 private:
  boost::asio::awaitable<void> Answer(HttpExchange& exchange) {
    ++answer_count_;
    HttpResponse response;
    if (exchange.request().target == "/stream") {
      co_await exchange.BeginStream(std::move(response));
      co_await Pause(kStreamTime);
      co_await exchange.EndStream();
      co_return;
    }
    response.body = kAnswer;
    co_await exchange.Respond(std::move(response));
  }

  std::atomic<int> answer_count_{0};
  boost::asio::io_context context_{1};
  HttpServer server_;
  std::thread thread_;
};

/// Time in which a server goes on to wait for the next request.
constexpr milliseconds kSettleTime{50};

/// Sends a request; whether it is answered. The connection is idle afterwards.
bool IsAnswered(RawConnection& connection, const std::string& request) {
  connection.DiscardReceived();
  connection.Send(request);
  const std::string received = connection.ReadUntil(kAnswer);
  std::this_thread::sleep_for(kSettleTime);
  return received.find(kAnswer) != std::string::npos;
}

TEST_CASE(
    "a request that crosses the close of its connection is not swallowed") {
  const bool was_used = GENERATE(false, true);
  CAPTURE(was_used);

  SECTION("when the idle timeout has expired") {
    AnsweringServer server(milliseconds(100));
    RawConnection connection(server.server().address());
    if (was_used) {
      REQUIRE(IsAnswered(connection, kRequest));
    }
    connection.ReadAll();
    REQUIRE_FALSE(connection.was_reset());
    const int answers = server.answer_count();

    SECTION("a whole request is left unread and reset") {
      connection.Send(kRequest);
      REQUIRE(connection.WaitForReset(kResetTimeout));
    }
    SECTION("the first bytes of a request are left unread and reset") {
      connection.Send(kRequest.substr(0, 10));
      REQUIRE(connection.WaitForReset(kResetTimeout));
    }
    REQUIRE(server.answer_count() == answers);
  }

  SECTION("when the server stops") {
    AnsweringServer server(milliseconds(5'000));
    RawConnection connection(server.server().address());
    if (was_used) {
      REQUIRE(IsAnswered(connection, kRequest));
    }
    server.server().Close();
    connection.ReadAll();
    REQUIRE_FALSE(connection.was_reset());
    const int answers = server.answer_count();
    connection.Send(kRequest);
    REQUIRE(connection.WaitForReset(kResetTimeout));
    REQUIRE(server.answer_count() == answers);
  }
}

TEST_CASE("a request after a stream during which the server stopped") {
  AnsweringServer server(milliseconds(5'000));
  RawConnection connection(server.server().address());

  SECTION("is left unread and reset") {
    connection.Send(kStreamRequest);
    connection.ReadUntil("chunked");
    server.server().Close();
    connection.ReadAll();
    connection.Send(kRequest);
    REQUIRE(connection.WaitForReset(kResetTimeout));
  }
  SECTION("is answered or reset if it came with the stream's request") {
    connection.Send(kStreamRequest + kRequest);
    connection.ReadUntil("chunked");
    server.server().Close();
    const std::string received = connection.ReadAll();
    REQUIRE((received.find(kAnswer) != std::string::npos ||
             connection.was_reset() || connection.WaitForReset(kResetTimeout)));
  }
}

TEST_CASE("a change of the idle timeout") {
  SECTION("that raises it holds for connections that are idle already") {
    AnsweringServer server(milliseconds(300));
    RawConnection fresh(server.server().address());
    RawConnection used(server.server().address());
    REQUIRE(IsAnswered(used, kRequest));
    server.SetIdleTimeout(milliseconds(2'000));
    std::this_thread::sleep_for(milliseconds(800));
    REQUIRE(IsAnswered(used, kRequest));
    REQUIRE(IsAnswered(fresh, kRequest));
  }
  SECTION("that raises it counts from the start of the idle time") {
    AnsweringServer server(milliseconds(300));
    RawConnection connection(server.server().address());
    REQUIRE(IsAnswered(connection, kRequest));
    const auto idle_since = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(milliseconds(100));
    server.SetIdleTimeout(milliseconds(600));
    connection.ReadAll();
    const auto idle_time = std::chrono::steady_clock::now() - idle_since;
    REQUIRE(idle_time >= milliseconds(500));
    REQUIRE(idle_time < milliseconds(1'500));
  }
  SECTION("that lowers it does not shorten an idle time that has begun") {
    AnsweringServer server(milliseconds(1'000));
    RawConnection fresh(server.server().address());
    RawConnection used(server.server().address());
    REQUIRE(IsAnswered(used, kRequest));
    server.SetIdleTimeout(milliseconds(100));
    std::this_thread::sleep_for(milliseconds(500));
    REQUIRE(IsAnswered(used, kRequest));
    REQUIRE(IsAnswered(fresh, kRequest));
  }
  SECTION("that lowers it holds after the next response") {
    AnsweringServer server(milliseconds(5'000));
    RawConnection connection(server.server().address());
    server.SetIdleTimeout(milliseconds(100));
    REQUIRE(IsAnswered(connection, kRequest));
    const auto idle_since = std::chrono::steady_clock::now();
    connection.ReadAll();
    REQUIRE(std::chrono::steady_clock::now() - idle_since <
            milliseconds(2'000));
  }
  SECTION("that raises and lowers it keeps the longest limit that was given") {
    AnsweringServer server(milliseconds(300));
    RawConnection connection(server.server().address());
    REQUIRE(IsAnswered(connection, kRequest));
    server.SetIdleTimeout(milliseconds(2'000));
    server.SetIdleTimeout(milliseconds(100));
    std::this_thread::sleep_for(milliseconds(800));
    REQUIRE(IsAnswered(connection, kRequest));
  }
}

}  // namespace
}  // namespace sycamoreford
