// Sends requests through a relay on the loopback interface to endpoints that
// fail in different ways, and checks the bytes that callers and endpoints
// receive.
#include <catch2/catch.hpp>

#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::EndpointScript;
using fakes::Reset;
using fakes::Send;
using fakes::Wait;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::RelayFixture;

std::string Response(
    const std::string& status,
    const std::string& body,
    const std::string& extra_headers = "X-Response-Seal: s1\r\n") {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + extra_headers + "\r\n" + body;
}

const std::string kRefusal =
    Response("503 Service Unavailable", "", "X-Not-Executed: 1\r\n");

std::string StreamHead(const std::string& seal) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: " + seal +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

const std::string kLastChunk = "0\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// The body of a chunked response, as far as it was received.
std::string Unchunk(const std::string& response) {
  std::string body;
  std::size_t position = response.find("\r\n\r\n") + 4;
  while (position < response.size()) {
    const std::size_t size = std::stoul(response.substr(position), nullptr, 16);
    position = response.find("\r\n", position) + 2;
    body += response.substr(position, size);
    position += size + 2;
  }
  return body;
}

bool IsComplete(const std::string& response) {
  return response.size() > kLastChunk.size() &&
         response.substr(response.size() - kLastChunk.size()) == kLastChunk;
}

template <class Condition>
bool WaitUntil(Condition condition) {
  for (int i = 0; i < 200; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

TEST_CASE("a relay refuses requests that it cannot forward") {
  RelayFixture fixture;

  SECTION("before the first configuration") {
    fixture.StartWithoutConfiguration();
    const auto response = fixture.Fetch("GET", "/safe/1");
    REQUIRE(Contains(response, "HTTP/1.1 503"));
    REQUIRE(Contains(response, "Retry-After: "));
  }
  SECTION("with a configuration") {
    fixture.Start();
    SECTION("when no route matches") {
      REQUIRE(Contains(fixture.Fetch("GET", "/other/"), "HTTP/1.1 404"));
    }
    SECTION("when the API key is unknown or missing") {
      REQUIRE(Contains(fixture.Fetch("GET", "/safe/1", "Api-Key: no\r\n"),
                       "HTTP/1.1 401"));
      REQUIRE(Contains(fixture.Fetch("GET", "/safe/1", ""), "HTTP/1.1 401"));
    }
    SECTION("when the request id is missing") {
      support::RawConnection connection(fixture.server.address());
      connection.Send(
          "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n"
          "Connection: close\r\n\r\n");
      REQUIRE(Contains(connection.ReadAll(), "HTTP/1.1 400"));
    }
    SECTION("when the Host header is missing") {
      support::RawConnection connection(fixture.server.address());
      connection.Send("GET /safe/1 HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n");
      REQUIRE(Contains(connection.ReadAll(), "HTTP/1.1 400"));
    }
    REQUIRE(fixture.plain_1.requests().empty());
    REQUIRE(fixture.plain_2.requests().empty());
  }
}

TEST_CASE("a request and its response are forwarded unchanged") {
  RelayFixture fixture;
  fixture.plain_1.AddScript({Send(Response("200 OK", "booked")), Close()});
  fixture.plain_2.AddScript({Send(Response("200 OK", "booked")), Close()});
  fixture.Start();
  const auto response =
      fixture.Fetch("POST", "/once/a?b=c",
                    "Api-Key: key-1\r\nX-Tenant-Name: forged\r\n"
                    "X-Expect-Replica: forged\r\n"
                    "X-Router-Hops: 1.2.3.4:5=0-80\r\n"
                    "X-Own: 1\r\nX-Own: 2\r\n",
                    "two seats");
  auto requests = fixture.plain_1.requests();
  if (requests.empty()) {
    requests = fixture.plain_2.requests();
  }
  REQUIRE(requests.size() == 1);
  const HttpRequest& request = requests.front();
  const HttpFields& fields = request.fields;

  SECTION("method, path, query, body and the caller's headers are kept") {
    REQUIRE(request.method == "POST");
    REQUIRE(request.target == "/once/a?b=c");
    REQUIRE(request.body == "two seats");
    REQUIRE(fields.Get("Host") == "a.example");
    REQUIRE(fields.Get("X-Attempt-Id") == "r1");
    REQUIRE(std::count_if(fields.begin(), fields.end(), [](const auto& field) {
              return field.first == "X-Own";
            }) == 2);
  }
  SECTION("headers that the router sets are not taken from the caller") {
    REQUIRE(fields.Get("X-Tenant-Name") == "bells");
    REQUIRE(fields.Get("Api-Key").empty());
    REQUIRE(fields.Get("X-Router-Hops").empty());
    const std::string expected(fields.Get("X-Expect-Replica"));
    REQUIRE((expected == "p1" || expected == "p2"));
  }
  SECTION("the deadline header holds at most the remaining time") {
    REQUIRE(std::stoi(std::string(fields.Get("X-Deadline-Ms"))) <= 5'000);
  }
  SECTION("the response is returned unchanged") {
    REQUIRE(Contains(response, "HTTP/1.1 200 OK"));
    REQUIRE(Contains(response, "X-Response-Seal: s1"));
    REQUIRE(response.substr(response.size() - 6) == "booked");
  }
}

TEST_CASE("a request that runs at most once") {
  RelayFixture fixture;
  const auto arrivals = [&] {
    return fixture.plain_1.requests().size() +
           fixture.plain_2.requests().size();
  };
  const auto script_both = [&](const EndpointScript& script) {
    fixture.plain_1.AddScript(script);
    fixture.plain_2.AddScript(script);
  };

  SECTION("is not sent again when its response is lost or malformed") {
    const auto script =
        GENERATE(EndpointScript{Reset()}, EndpointScript{Close()},
                 EndpointScript{Send("HTTP/1.1 200 OK\r\nX-Resp"), Reset()},
                 EndpointScript{Send("no answer at all\r\n\r\n"), Close()},
                 EndpointScript{
                     Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
                          "X-Response-Seal: s\r\nContent-Length: 9\r\n\r\nabc"),
                     Close()},
                 EndpointScript{Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
                                     "X-Response-Seal: s\r\n\r\nabc"),
                                Reset()});
    script_both(script);
    fixture.Start();
    REQUIRE(Contains(fixture.Fetch("POST", "/once/1"), "HTTP/1.1 502"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("is not sent again when its response cannot be trusted") {
    const auto script = GENERATE(
        EndpointScript{Send(Response("200 OK", "x", "")), Close()},
        EndpointScript{Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                            "X-Response-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
                       Close()});
    script_both(script);
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/once/1");
    REQUIRE(Contains(response, "HTTP/1.1 502"));
    REQUIRE_FALSE(Contains(response, "X-Response-Seal"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("gets an error response of the endpoint unchanged") {
    script_both({Send(Response("500 Internal Server Error", "bad")), Close()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/once/1");
    REQUIRE(Contains(response, "HTTP/1.1 500"));
    REQUIRE(Contains(response, "X-Response-Seal: s1"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("was not run, as reported by") {
    SECTION("one endpoint") {
      script_both({Send(kRefusal), Close()});
      fixture.plain_1.SetResponder([&, calls = 0](const HttpRequest&) mutable {
        return fixture.plain_2.requests().empty() && calls++ == 0
                   ? EndpointScript{Send(kRefusal), Close()}
                   : EndpointScript{Send(Response("200 OK", "done")), Close()};
      });
      fixture.Start();
      const auto response = fixture.Fetch("POST", "/once/1");
      // Either endpoint may be selected first. The request is sent at most once
      // to each.
      REQUIRE(arrivals() <= 2);
      REQUIRE((Contains(response, "HTTP/1.1 200") ||
               Contains(response, "HTTP/1.1 503")));
    }
    SECTION("both endpoints") {
      script_both({Send(kRefusal), Close()});
      fixture.Start();
      const auto response = fixture.Fetch("POST", "/once/1");
      REQUIRE(Contains(response, "HTTP/1.1 503"));
      REQUIRE(Contains(response, "Retry-After: "));
      REQUIRE(arrivals() == 2);
    }
    SECTION("the only endpoint that the route allows") {
      script_both({Send(kRefusal), Close()});
      fixture.Start([](RelayRoute& route) { route.max_attempts = 1; });
      REQUIRE(Contains(fixture.Fetch("POST", "/once/1"), "HTTP/1.1 503"));
      REQUIRE(arrivals() == 1);
    }
  }

  SECTION("may get a response without a length that ends with the connection") {
    script_both({Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
                      "X-Response-Seal: s\r\n\r\nwhole"),
                 Close()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/once/1");
    REQUIRE(Contains(response, "HTTP/1.1 200"));
    REQUIRE(response.substr(response.size() - 5) == "whole");
  }

  SECTION("does not get bytes that follow its response") {
    script_both({Send(Response("200 OK", "done") + Response("200 OK", "more")),
                 Close()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/once/1");
    REQUIRE_FALSE(Contains(response, "more"));
  }

  SECTION("times out when the endpoint does not respond") {
    script_both({WaitForClose()});
    fixture.Start(
        [](RelayRoute& route) { route.time_limit = milliseconds(300); });
    const auto started_at = std::chrono::steady_clock::now();
    REQUIRE(Contains(fixture.Fetch("POST", "/once/1"), "HTTP/1.1 504"));
    REQUIRE(std::chrono::steady_clock::now() - started_at >= milliseconds(290));
    REQUIRE(arrivals() == 1);
  }
}

TEST_CASE("an idempotent request") {
  RelayFixture fixture;
  SECTION("is sent to a second endpoint when the first fails") {
    const auto failure = GENERATE(
        EndpointScript{Reset()},
        EndpointScript{Send(Response("500 Internal Server Error", "bad")),
                       Close()},
        EndpointScript{Send(kRefusal), Close()},
        EndpointScript{WaitForClose()});
    const auto respond = [&](const HttpRequest&) {
      const auto arrivals =
          fixture.plain_1.requests().size() + fixture.plain_2.requests().size();
      return arrivals == 1
                 ? failure
                 : EndpointScript{Send(Response("200 OK", "good")), Close()};
    };
    fixture.plain_1.SetResponder(respond);
    fixture.plain_2.SetResponder(respond);
    fixture.Start();
    const auto response = fixture.Fetch("GET", "/safe/1");
    REQUIRE(Contains(response, "HTTP/1.1 200"));
    REQUIRE(fixture.plain_1.requests().size() == 1);
    REQUIRE(fixture.plain_2.requests().size() == 1);
  }
  SECTION("gets an error response of an endpoint when all endpoints fail") {
    fixture.plain_1.AddScript(
        {Send(Response("500 Internal Server Error", "1")), Close()});
    fixture.plain_2.AddScript(
        {Send(Response("500 Internal Server Error", "2")), Close()});
    fixture.Start();
    const auto response = fixture.Fetch("GET", "/safe/1");
    REQUIRE(Contains(response, "HTTP/1.1 500"));
    REQUIRE(Contains(response, "X-Response-Seal: s1"));
  }
}

TEST_CASE("a stream") {
  RelayFixture fixture;
  const auto all_events = Event(0) + Event(1) + Event(2);

  SECTION("is sent to a chain that covers each layer once") {
    fixture.model_1.AddScript(
        {Send(StreamHead("s1") + Chunk(all_events) + kLastChunk),
         WaitForClose()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/stream/1");
    REQUIRE(Unchunk(response) == all_events);
    REQUIRE(IsComplete(response));
    REQUIRE(fixture.model_1.requests().size() == 1);
    REQUIRE(fixture.model_1.requests().front().fields.Get("X-Router-Hops") ==
            fixture.model_1.address() + "=0-80");
  }

  SECTION("that breaks within an event is resumed at another chain") {
    const auto cut = GENERATE(0, 5, 20, 21, 30);
    const auto truncated = all_events.substr(0, static_cast<std::size_t>(cut));
    fixture.model_1.AddScript(
        {Send(StreamHead("s1") + (truncated.empty() ? "" : Chunk(truncated))),
         Wait(milliseconds(20)), Reset()});
    fixture.model_2.SetResponder([&](const HttpRequest& request) {
      const std::string last(request.fields.Get("Last-Event-Id"));
      std::string rest;
      for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < 3; ++id) {
        rest += Event(id);
      }
      return EndpointScript{Send(StreamHead("s2") + Chunk(rest) + kLastChunk),
                            WaitForClose()};
    });
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/stream/1");
    REQUIRE(Unchunk(response) == all_events);
    REQUIRE(IsComplete(response));
    REQUIRE(Contains(response, "X-Response-Seal: s1"));
    REQUIRE_FALSE(Contains(response, "X-Response-Seal: s2"));
  }

  SECTION("is resumed by the caller with Last-Event-Id") {
    fixture.model_1.AddScript(
        {Send(StreamHead("s1") + Chunk(Event(2)) + kLastChunk),
         WaitForClose()});
    fixture.Start();
    const auto response = fixture.Fetch(
        "POST", "/stream/1", "Api-Key: key-1\r\nLast-Event-Id: 1\r\n");
    REQUIRE(Unchunk(response) == Event(2));
    REQUIRE(fixture.model_1.requests().front().fields.Get("Last-Event-Id") ==
            "1");
  }

  SECTION("is truncated when it breaks on all chains") {
    const EndpointScript script = {Send(StreamHead("s1") + Chunk(Event(0))),
                                   Wait(milliseconds(20)), Reset()};
    fixture.model_1.AddScript(script);
    fixture.model_2.AddScript({Reset()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/stream/1");
    REQUIRE(Unchunk(response) == Event(0));
    REQUIRE_FALSE(IsComplete(response));
  }

  SECTION("that ends regularly but within an event is resumed") {
    fixture.model_1.AddScript(
        {Send(StreamHead("s1") + Chunk(Event(0) + "id: 1\nda") + kLastChunk),
         WaitForClose()});
    fixture.model_2.AddScript(
        {Send(StreamHead("s2") + Chunk(Event(1) + Event(2)) + kLastChunk),
         WaitForClose()});
    fixture.Start();
    REQUIRE(Unchunk(fixture.Fetch("POST", "/stream/1")) == all_events);
  }

  SECTION("that runs at most once is not run again") {
    fixture.model_1.AddScript({Send(StreamHead("s1") + Chunk(Event(0))),
                               Wait(milliseconds(20)), Reset()});
    fixture.model_2.AddScript(
        {Send(StreamHead("s2") + Chunk(all_events) + kLastChunk),
         WaitForClose()});
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/stream-once/1");
    REQUIRE(Unchunk(response) == Event(0));
    REQUIRE_FALSE(IsComplete(response));
    REQUIRE(fixture.model_2.requests().empty());
  }

  SECTION(
      "is sent to another chain when a stage named in the response refuses") {
    fixture.model_1.AddScript(
        {Send(Response("503 Service Unavailable", "",
                       "X-Not-Executed: 1\r\nAt-Server: " +
                           fixture.model_1.address() + "\r\n")),
         Close()});
    fixture.model_2.AddScript(
        {Send(StreamHead("s2") + Chunk(all_events) + kLastChunk),
         WaitForClose()});
    fixture.Start();
    REQUIRE(Unchunk(fixture.Fetch("POST", "/stream/1")) == all_events);
  }

  SECTION("is cancelled when the caller disconnects") {
    fixture.model_1.AddScript(
        {Send(StreamHead("s1") + Chunk(Event(0))), WaitForClose()});
    fixture.Start();
    {
      support::RawConnection connection(fixture.server.address());
      connection.Send(
          RelayFixture::Request("POST", "/stream/1", "Api-Key: key-1\r\n"));
      connection.ReadUntil("data");
    }
    REQUIRE(
        WaitUntil([&] { return fixture.model_1.closed_by_peer_count() == 1; }));
    REQUIRE(fixture.model_2.requests().empty());
  }
}

TEST_CASE("a planned stop during a stream on a keep-alive connection") {
  RelayFixture fixture;
  fixture.model_1.AddScript(
      {Send(StreamHead("s1") + Chunk(Event(0))), Wait(milliseconds(300)),
       Send(Chunk(Event(1)) + kLastChunk), WaitForClose()});
  fixture.Start();
  support::RawConnection connection(fixture.server.address());
  std::string request =
      RelayFixture::Request("POST", "/stream/1", "Api-Key: key-1\r\n");
  request.erase(request.find("Connection: close\r\n"), 19);
  connection.Send(request);
  connection.ReadUntil("id: 0");
  fixture.server.DisableKeepAlive();

  SECTION("another request is served until the listener closes") {
    connection.ReadUntil(kLastChunk);
    connection.Send(request);
    REQUIRE(Contains(connection.ReadAll(), "Connection: close"));
    REQUIRE(fixture.model_1.requests().size() == 2);
    return;
  }
  fixture.server.Close();

  SECTION("the stream is completed, and no further request is accepted") {
    connection.ReadUntil(kLastChunk);
    connection.Send(request);
    const std::string received = connection.ReadAll();
    REQUIRE(Unchunk(received) == Event(0) + Event(1));
    REQUIRE(fixture.model_1.requests().size() == 1);
    REQUIRE(fixture.model_2.requests().empty());
  }
  SECTION("a request that was sent before the stream ended is not read") {
    connection.Send(request);
    connection.ReadAll();
    REQUIRE(fixture.model_1.requests().size() == 1);
    REQUIRE(fixture.model_2.requests().empty());
  }
}

TEST_CASE("a stream on a chain that has stalled") {
  RelayFixture fixture;
  fixture.model_1.AddScript(
      {Send(StreamHead("s1") + Chunk(Event(0))), WaitForClose()});
  fixture.model_2.AddScript(
      {Send(StreamHead("s2") + Chunk(Event(1) + Event(2)) + kLastChunk),
       WaitForClose()});
  const auto watch = [&] {
    boost::asio::co_spawn(fixture.context, fixture.inspector.Watch(),
                          boost::asio::detached);
  };

  SECTION("is moved when the endpoint does not respond to an inspection") {
    fixture.model_1.report = "";
    watch();
    fixture.Start();
    const auto response = fixture.Fetch("POST", "/stream/1");
    REQUIRE(Unchunk(response) == Event(0) + Event(1) + Event(2));
    REQUIRE(IsComplete(response));
  }

  SECTION("is moved when the endpoint reports the stage that it waits for") {
    fixture.model_1.report = R"({"Stalled":[{"Id":"r1","Address":")" +
                             fixture.model_1.address() + R"("}]})";
    watch();
    fixture.Start();
    REQUIRE(Unchunk(fixture.Fetch("POST", "/stream/1")) ==
            Event(0) + Event(1) + Event(2));
  }

  SECTION("is not moved when the chain is merely slow") {
    watch();
    fixture.Start(
        [](RelayRoute& route) { route.time_limit = milliseconds(1'200); });
    REQUIRE(Unchunk(fixture.Fetch("POST", "/stream/1")) == Event(0));
    REQUIRE(fixture.model_2.requests().empty());
  }
}

}  // namespace
}  // namespace sycamoreford
