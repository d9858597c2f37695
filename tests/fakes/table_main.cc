// A fake of the platform's table service and VM list as a process that serves
// JSON over HTTP.
//
// POST /v1/read and /v1/commit access the table; GET and PUT /v1/vms read and
// set the list of VMs. POST /fake/mode injects faults: {"mode": "up" | "down" |
// "slow" | "lose_answers", "delay_ms": N}. GET /fake/counts returns the numbers
// of reads and commits.
#include <iostream>

#include <tclap/CmdLine.h>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "fakes/fake_table.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

enum class Mode { kUp, kDown, kSlow, kLoseAnswers };

class TableService {
 public:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    HttpResponse response;
    try {
      if (request.target == "/fake/mode") {
        SetMode(json::parse(request.body).as_object());
      } else if (request.target == "/fake/counts") {
        response.body = json::serialize(json::object{
            {"reads", table_.reads()}, {"commits", table_.commits()}});
      } else {
        co_await Serve(exchange, response);
        if (mode_ == Mode::kLoseAnswers && request.target == "/v1/commit") {
          co_return;
        }
      }
    } catch (const std::exception& error) {
      response.status = 400;
      response.body = error.what();
    }
    co_await exchange.Respond(response);
  }

 private:
  void SetMode(const json::object& body) {
    const std::string mode = json::value_to<std::string>(body.at("mode"));
    mode_ = mode == "down"           ? Mode::kDown
            : mode == "slow"         ? Mode::kSlow
            : mode == "lose_answers" ? Mode::kLoseAnswers
                                     : Mode::kUp;
    if (const json::value* delay = body.if_contains("delay_ms")) {
      delay_ = std::chrono::milliseconds(delay->to_number<int>());
    }
  }

  asio::awaitable<void> Serve(HttpExchange& exchange, HttpResponse& response) {
    const HttpRequest& request = exchange.request();
    if (mode_ == Mode::kDown) {
      response.status = 503;
      co_return;
    }
    if (mode_ == Mode::kSlow) {
      asio::steady_timer timer(co_await asio::this_coro::executor, delay_);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (request.target == "/v1/read") {
      response.body = Read(json::parse(request.body));
    } else if (request.target == "/v1/commit") {
      response.body = Commit(json::parse(request.body));
    } else if (request.target == "/v1/vms") {
      if (request.method == "PUT") {
        vms_ = request.body;
      }
      response.body = vms_;
    } else {
      response.status = 404;
    }
  }

  std::string Read(const json::value& body) {
    TableRead read;
    read.keys = json::value_to<std::vector<std::string>>(body.at("keys"));
    read.prefixes =
        json::value_to<std::vector<std::string>>(body.at("prefixes"));
    read.after = json::value_to<std::string>(body.at("after"));
    read.limit = body.at("limit").to_number<std::uint32_t>();
    json::array rows;
    for (const TableRow& row : table_.Read(read)) {
      rows.push_back(
          {{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    return json::serialize(json::object{{"rows", rows}});
  }

  std::string Commit(const json::value& body) {
    TableTransaction transaction;
    for (const json::value& condition : body.at("conditions").as_array()) {
      transaction.conditions.push_back(
          {json::value_to<std::string>(condition.at("key")),
           condition.at("version").to_number<std::uint64_t>()});
    }
    for (const json::value& write : body.at("writes").as_array()) {
      TableWrite item{json::value_to<std::string>(write.at("key")), {}};
      if (!write.at("value").is_null()) {
        item.value = json::value_to<std::string>(write.at("value"));
      }
      transaction.writes.push_back(item);
    }
    return json::serialize(
        json::object{{"committed", table_.Commit(transaction)}});
  }

  FakeTable table_;
  std::atomic<Mode> mode_{Mode::kUp};
  std::chrono::milliseconds delay_{0};
  std::string vms_ = R"({"vms":[]})";
};

}  // namespace
}  // namespace sycamoreford::fakes

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Fake of the platform's table service");
  TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port",
                                      false, "127.0.0.1:0", "ADDRESS", command);
  command.parse(argc, argv);
  boost::asio::io_context context(1);
  sycamoreford::fakes::TableService service;
  sycamoreford::HttpLimits limits;
  limits.max_body_bytes = 64UL * 1024 * 1024;
  sycamoreford::HttpServer server(
      context, listen.getValue(), limits,
      [&service](sycamoreford::HttpExchange& exchange) {
        return service.Handle(exchange);
      });
  std::cout << "event=listening address=" << server.address() << std::endl;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
