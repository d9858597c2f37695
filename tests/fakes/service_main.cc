// A fake plain service as a process. It counts calls by their x-call header, or
// else by method, target and body, and returns the count, so that tests detect
// a call that ran twice.
//
// GET /fake/ran lists the counts. POST /fake/mode with
// {"mode": MODE, "delay_ms": N} selects what happens to calls from then on:
//   up          they are answered
//   cut_before  the connection ends before the call runs
//   cut_after   the call runs and the connection ends without its response
//   slow        the call is counted and its response delayed by delay_ms
#include <iostream>
#include <map>

#include <tclap/CmdLine.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

class PlainService {
 public:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    HttpResponse response;
    if (request.target == "/fake/mode") {
      const json::value body = json::parse(request.body);
      mode_ = json::value_to<std::string>(body.at("mode"));
      if (const json::value* delay = body.as_object().if_contains("delay_ms")) {
        delay_ = std::chrono::milliseconds(delay->to_number<int>());
      }
    } else if (request.target == "/fake/ran") {
      response.body = json::serialize(json::value_from(run_counts_));
    } else if (request.target == "/v1/state") {
      response.body = R"({"queue":0,"leaving":false})";
    } else if (mode_ == "cut_before") {
      co_await DropConnection(exchange);
      co_return;
    } else {
      co_await Run(request, response);
      if (mode_ == "cut_after") {
        co_await DropConnection(exchange);
        co_return;
      }
    }
    co_await exchange.Respond(response);
  }

 private:
  /// Begins a response without finishing it, so that the server closes the
  /// connection. If the handler threw an exception before a response has begun,
  /// the server would respond with status 500 itself.
  static asio::awaitable<void> DropConnection(HttpExchange& exchange) {
    HttpResponse header;
    co_await exchange.BeginStream(header);
  }

  asio::awaitable<void> Run(const HttpRequest& request,
                            HttpResponse& response) {
    std::string call(request.fields.Get("x-call"));
    if (call.empty()) {
      call = request.method + " " + request.target + " " + request.body;
    }
    const int count = ++run_counts_[call];
    if (mode_ == "slow") {
      asio::steady_timer timer(co_await asio::this_coro::executor, delay_);
      co_await timer.async_wait(asio::use_awaitable);
    }
    response.body =
        json::serialize(json::object{{"call", call}, {"ran", count}});
  }

  std::string mode_ = "up";
  std::chrono::milliseconds delay_{0};
  std::map<std::string, int> run_counts_;
};

}  // namespace
}  // namespace sycamoreford::fakes

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Fake plain service for tests");
  TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port",
                                      false, "127.0.0.1:0", "ADDRESS", command);
  command.parse(argc, argv);
  boost::asio::io_context context(1);
  sycamoreford::fakes::PlainService service;
  sycamoreford::HttpServer server(
      context, listen.getValue(), {},
      [&service](sycamoreford::HttpExchange& exchange) {
        return service.Handle(exchange);
      });
  std::cout << "event=listening address=" << server.address() << std::endl;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
