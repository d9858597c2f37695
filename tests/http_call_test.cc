// Interruptions of a call that is waiting for its response.
#include <catch2/catch.hpp>

#include <functional>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/scripted_endpoint.h"
#include "support/event_stream.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/pause.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using ReadResult = Result<std::optional<std::string>>;

constexpr milliseconds kTimeout{2'000};

/// Runs a test on a call whose response head has arrived, and of whose body
/// the first half arrives soon.
class CallFixture {
 public:
  void Run(const std::function<boost::asio::awaitable<void>(HttpCall&)>& test) {
    endpoint_.AddScript(
        {fakes::Send(support::StreamHead()), fakes::Wait(milliseconds(20)),
         fakes::Send(support::Part("first ")), fakes::Wait(milliseconds(1'000)),
         fakes::Send(support::Part("second") + support::BodyEnd()),
         fakes::WaitForClose()});
    std::exception_ptr failure;
    boost::asio::co_spawn(context_, Receive(test),
                          [&](const std::exception_ptr& error) {
                            failure = error;
                            context_.stop();
                          });
    context_.run();
    if (failure) {
      std::rethrow_exception(failure);
    }
  }

  /// Starts a read, whose result is stored in `result`.
  void StartRead(HttpCall& call, std::optional<ReadResult>& result) {
    boost::asio::co_spawn(
        context_, call.ReadSome(kTimeout),
        [&result](const std::exception_ptr&, ReadResult value) {
          result = std::move(value);
        });
  }

 private:
  boost::asio::awaitable<void> Receive(
      std::function<boost::asio::awaitable<void>(HttpCall&)> test) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    auto call = co_await HttpCall::Open(endpoint_.address(), request, kTimeout,
                                        kTimeout);
    REQUIRE(call.has_value());
    co_await test(*call);
  }

  boost::asio::io_context context_{1};
  fakes::ScriptedEndpoint endpoint_{context_};
};

TEST_CASE("an interruption ends the running read or the next one") {
  CallFixture fixture;
  SECTION("while nothing has arrived") {
    fixture.Run([&](HttpCall& call) -> boost::asio::awaitable<void> {
      const auto first = co_await call.ReadSome(kTimeout);
      REQUIRE(first.has_value());
      std::optional<ReadResult> read;
      fixture.StartRead(call, read);
      call.Interrupt();
      co_await Pause(milliseconds(50));
      REQUIRE(read.has_value());
      REQUIRE_FALSE(read->has_value());
      REQUIRE(call.was_interrupted());
      const auto rest = co_await call.ReadAll(100, kTimeout);
      REQUIRE(rest.has_value());
      REQUIRE(*rest == "second");
    });
  }
  SECTION("when bytes arrive at the same time") {
    fixture.Run([&](HttpCall& call) -> boost::asio::awaitable<void> {
      // The second pause lets the reactor notice the bytes, however late the
      // first one ended.
      co_await Pause(milliseconds(100));
      co_await Pause(milliseconds(20));
      std::optional<ReadResult> read;
      fixture.StartRead(call, read);
      call.Interrupt();
      co_await Pause(milliseconds(50));
      REQUIRE(read.has_value());
      std::string received;
      if (read->has_value()) {
        // The bytes came first, so the next call is ended.
        received = read->value().value();
        const auto next = co_await call.ReadSome(kTimeout);
        REQUIRE_FALSE(next.has_value());
      }
      REQUIRE(call.was_interrupted());
      const auto rest = co_await call.ReadAll(100, kTimeout);
      REQUIRE(rest.has_value());
      REQUIRE(received + *rest == "first second");
    });
  }
  SECTION("unless it is discarded") {
    fixture.Run([&](HttpCall& call) -> boost::asio::awaitable<void> {
      call.Interrupt();
      call.ClearInterrupt();
      const auto body = co_await call.ReadAll(100, kTimeout);
      REQUIRE(body.has_value());
      REQUIRE(*body == "first second");
    });
  }
}

}  // namespace
}  // namespace sycamoreford
