// Requests pass a relay on the loopback to endpoints that fail in every way;
// what callers and endpoints get is checked byte by byte.
#include <catch2/catch.hpp>

#include "support/relay_stand.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::EndpointScript;
using fakes::Hold;
using fakes::Reset;
using fakes::Send;
using fakes::Wait;
using std::chrono::milliseconds;
using support::RelayStand;

std::string Answer(const std::string& status,
                   const std::string& body,
                   const std::string& extra = "X-Response-Seal: s1\r\n") {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
}

const std::string kRefusal =
    Answer("503 Service Unavailable", "", "X-Not-Executed: 1\r\n");

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

/// The body of a chunked answer, as far as it came.
std::string Unchunk(const std::string& answer) {
  std::string body;
  std::size_t at = answer.find("\r\n\r\n") + 4;
  while (at < answer.size()) {
    const std::size_t size = std::stoul(answer.substr(at), nullptr, 16);
    at = answer.find("\r\n", at) + 2;
    body += answer.substr(at, size);
    at += size + 2;
  }
  return body;
}

bool IsComplete(const std::string& answer) {
  return answer.size() > kLastChunk.size() &&
         answer.substr(answer.size() - kLastChunk.size()) == kLastChunk;
}

template <class Condition>
bool Soon(Condition condition) {
  for (int i = 0; i < 200; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

TEST_CASE("a request is admitted or refused by the router itself") {
  RelayStand stand;

  SECTION("no configuration is known yet") {
    stand.StartWithoutConfiguration();
    const auto answer = stand.Ask("GET", "/safe/1");
    REQUIRE(Contains(answer, "HTTP/1.1 503"));
    REQUIRE(Contains(answer, "Retry-After: "));
  }
  SECTION("with a configuration") {
    stand.Start();
    SECTION("no route takes it") {
      REQUIRE(Contains(stand.Ask("GET", "/other/"), "HTTP/1.1 404"));
    }
    SECTION("its key is unknown, or missing") {
      REQUIRE(Contains(stand.Ask("GET", "/safe/1", "Api-Key: no\r\n"),
                       "HTTP/1.1 401"));
      REQUIRE(Contains(stand.Ask("GET", "/safe/1", ""), "HTTP/1.1 401"));
    }
    SECTION("it has no id") {
      support::RawConnection connection(stand.server.address());
      connection.Send(
          "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n"
          "Connection: close\r\n\r\n");
      REQUIRE(Contains(connection.ReadAll(), "HTTP/1.1 400"));
    }
    SECTION("it names no host") {
      support::RawConnection connection(stand.server.address());
      connection.Send("GET /safe/1 HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n");
      REQUIRE(Contains(connection.ReadAll(), "HTTP/1.1 400"));
    }
    REQUIRE(stand.plain_1.requests().empty());
    REQUIRE(stand.plain_2.requests().empty());
  }
}

TEST_CASE("a request reaches its endpoint as the caller meant it") {
  RelayStand stand;
  stand.plain_1.Then({Send(Answer("200 OK", "booked")), Close()});
  stand.plain_2.Then({Send(Answer("200 OK", "booked")), Close()});
  stand.Start();
  const auto answer = stand.Ask("POST", "/once/a?b=c",
                                "Api-Key: key-1\r\nX-Tenant-Name: forged\r\n"
                                "X-Expect-Replica: forged\r\n"
                                "X-Router-Hops: 1.2.3.4:5=0-80\r\n"
                                "X-Own: 1\r\nX-Own: 2\r\n",
                                "two seats");
  auto requests = stand.plain_1.requests();
  if (requests.empty()) {
    requests = stand.plain_2.requests();
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
  SECTION("what the router sets is the router's") {
    REQUIRE(fields.Get("X-Tenant-Name") == "bells");
    REQUIRE(fields.Get("Api-Key").empty());
    REQUIRE(fields.Get("X-Router-Hops").empty());
    const std::string expected(fields.Get("X-Expect-Replica"));
    REQUIRE((expected == "p1" || expected == "p2"));
  }
  SECTION("it gets the time that is left, never more") {
    REQUIRE(std::stoi(std::string(fields.Get("X-Deadline-Ms"))) <= 5'000);
  }
  SECTION("the answer comes back unchanged") {
    REQUIRE(Contains(answer, "HTTP/1.1 200 OK"));
    REQUIRE(Contains(answer, "X-Response-Seal: s1"));
    REQUIRE(answer.substr(answer.size() - 6) == "booked");
  }
}

TEST_CASE("a request that runs at most once") {
  RelayStand stand;
  const auto arrivals = [&] {
    return stand.plain_1.requests().size() + stand.plain_2.requests().size();
  };
  const auto both = [&](const EndpointScript& script) {
    stand.plain_1.Then(script);
    stand.plain_2.Then(script);
  };

  SECTION("its answer is lost") {
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
    both(script);
    stand.Start();
    REQUIRE(Contains(stand.Ask("POST", "/once/1"), "HTTP/1.1 502"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("its answer proves nothing") {
    const auto script = GENERATE(
        EndpointScript{Send(Answer("200 OK", "x", "")), Close()},
        EndpointScript{Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                            "X-Response-Seal: s\r\nContent-Length: 1\r\n\r\nx"),
                       Close()});
    both(script);
    stand.Start();
    const auto answer = stand.Ask("POST", "/once/1");
    REQUIRE(Contains(answer, "HTTP/1.1 502"));
    REQUIRE_FALSE(Contains(answer, "X-Response-Seal"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("the endpoint's own failure is passed on as it is") {
    both({Send(Answer("500 Internal Server Error", "bad")), Close()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/once/1");
    REQUIRE(Contains(answer, "HTTP/1.1 500"));
    REQUIRE(Contains(answer, "X-Response-Seal: s1"));
    REQUIRE(arrivals() == 1);
  }

  SECTION("endpoints say that they did not run it") {
    SECTION("one of them") {
      both({Send(kRefusal), Close()});
      stand.plain_1.Decide([&, calls = 0](const HttpRequest&) mutable {
        return stand.plain_2.requests().empty() && calls++ == 0
                   ? EndpointScript{Send(kRefusal), Close()}
                   : EndpointScript{Send(Answer("200 OK", "done")), Close()};
      });
      stand.Start();
      const auto answer = stand.Ask("POST", "/once/1");
      // Whichever came first, the other was asked, and nobody ran it twice.
      REQUIRE(arrivals() <= 2);
      REQUIRE((Contains(answer, "HTTP/1.1 200") ||
               Contains(answer, "HTTP/1.1 503")));
    }
    SECTION("both of them") {
      both({Send(kRefusal), Close()});
      stand.Start();
      const auto answer = stand.Ask("POST", "/once/1");
      REQUIRE(Contains(answer, "HTTP/1.1 503"));
      REQUIRE(Contains(answer, "Retry-After: "));
      REQUIRE(arrivals() == 2);
    }
    SECTION("and its route allows one endpoint only") {
      both({Send(kRefusal), Close()});
      stand.Start([](RelayRoute& route) { route.max_attempts = 1; });
      REQUIRE(Contains(stand.Ask("POST", "/once/1"), "HTTP/1.1 503"));
      REQUIRE(arrivals() == 1);
    }
  }

  SECTION("an answer may have no length and end with its connection") {
    both({Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
               "X-Response-Seal: s\r\n\r\nwhole"),
          Close()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/once/1");
    REQUIRE(Contains(answer, "HTTP/1.1 200"));
    REQUIRE(answer.substr(answer.size() - 5) == "whole");
  }

  SECTION("bytes after the answer belong to no request") {
    both({Send(Answer("200 OK", "done") + Answer("200 OK", "more")), Close()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/once/1");
    REQUIRE_FALSE(Contains(answer, "more"));
  }

  SECTION("the endpoint is silent") {
    both({Hold()});
    stand.Start(
        [](RelayRoute& route) { route.time_limit = milliseconds(300); });
    const auto began = std::chrono::steady_clock::now();
    REQUIRE(Contains(stand.Ask("POST", "/once/1"), "HTTP/1.1 504"));
    REQUIRE(std::chrono::steady_clock::now() - began >= milliseconds(290));
    REQUIRE(arrivals() == 1);
  }
}

TEST_CASE("a request that may be repeated") {
  RelayStand stand;
  SECTION("the first endpoint fails and the second answers") {
    const auto failure = GENERATE(
        EndpointScript{Reset()},
        EndpointScript{Send(Answer("500 Internal Server Error", "bad")),
                       Close()},
        EndpointScript{Send(kRefusal), Close()}, EndpointScript{Hold()});
    const auto decide = [&](const HttpRequest&) {
      const auto arrivals =
          stand.plain_1.requests().size() + stand.plain_2.requests().size();
      return arrivals == 1
                 ? failure
                 : EndpointScript{Send(Answer("200 OK", "good")), Close()};
    };
    stand.plain_1.Decide(decide);
    stand.plain_2.Decide(decide);
    stand.Start();
    const auto answer = stand.Ask("GET", "/safe/1");
    REQUIRE(Contains(answer, "HTTP/1.1 200"));
    REQUIRE(stand.plain_1.requests().size() == 1);
    REQUIRE(stand.plain_2.requests().size() == 1);
  }
  SECTION("all endpoints fail it") {
    stand.plain_1.Then(
        {Send(Answer("500 Internal Server Error", "1")), Close()});
    stand.plain_2.Then(
        {Send(Answer("500 Internal Server Error", "2")), Close()});
    stand.Start();
    const auto answer = stand.Ask("GET", "/safe/1");
    REQUIRE(Contains(answer, "HTTP/1.1 500"));
    REQUIRE(Contains(answer, "X-Response-Seal: s1"));
  }
}

TEST_CASE("a stream") {
  RelayStand stand;
  const auto whole = Event(0) + Event(1) + Event(2);

  SECTION("passes along a chain that runs each layer once") {
    stand.model_1.Then(
        {Send(StreamHead("s1") + Chunk(whole) + kLastChunk), Hold()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream/1");
    REQUIRE(Unchunk(answer) == whole);
    REQUIRE(IsComplete(answer));
    REQUIRE(stand.model_1.requests().size() == 1);
    REQUIRE(stand.model_1.requests().front().fields.Get("X-Router-Hops") ==
            stand.model_1.address() + "=0-80");
  }

  SECTION("breaks within an event and goes on at another chain") {
    const auto cut = GENERATE(0, 5, 20, 21, 30);
    const auto broken = whole.substr(0, static_cast<std::size_t>(cut));
    stand.model_1.Then(
        {Send(StreamHead("s1") + (broken.empty() ? "" : Chunk(broken))),
         Wait(milliseconds(20)), Reset()});
    stand.model_2.Decide([&](const HttpRequest& request) {
      const std::string last(request.fields.Get("Last-Event-Id"));
      std::string rest;
      for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < 3; ++id) {
        rest += Event(id);
      }
      return EndpointScript{Send(StreamHead("s2") + Chunk(rest) + kLastChunk),
                            Hold()};
    });
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream/1");
    REQUIRE(Unchunk(answer) == whole);
    REQUIRE(IsComplete(answer));
    REQUIRE(Contains(answer, "X-Response-Seal: s1"));
    REQUIRE_FALSE(Contains(answer, "X-Response-Seal: s2"));
  }

  SECTION("the caller has a part of it already") {
    stand.model_1.Then(
        {Send(StreamHead("s1") + Chunk(Event(2)) + kLastChunk), Hold()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream/1",
                                  "Api-Key: key-1\r\nLast-Event-Id: 1\r\n");
    REQUIRE(Unchunk(answer) == Event(2));
    REQUIRE(stand.model_1.requests().front().fields.Get("Last-Event-Id") ==
            "1");
  }

  SECTION("breaks everywhere") {
    const EndpointScript script = {Send(StreamHead("s1") + Chunk(Event(0))),
                                   Wait(milliseconds(20)), Reset()};
    stand.model_1.Then(script);
    stand.model_2.Then({Reset()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream/1");
    REQUIRE(Unchunk(answer) == Event(0));
    REQUIRE_FALSE(IsComplete(answer));
  }

  SECTION("ends in order but within an event") {
    stand.model_1.Then(
        {Send(StreamHead("s1") + Chunk(Event(0) + "id: 1\nda") + kLastChunk),
         Hold()});
    stand.model_2.Then(
        {Send(StreamHead("s2") + Chunk(Event(1) + Event(2)) + kLastChunk),
         Hold()});
    stand.Start();
    REQUIRE(Unchunk(stand.Ask("POST", "/stream/1")) == whole);
  }

  SECTION("that runs at most once is not run again") {
    stand.model_1.Then({Send(StreamHead("s1") + Chunk(Event(0))),
                        Wait(milliseconds(20)), Reset()});
    stand.model_2.Then(
        {Send(StreamHead("s2") + Chunk(whole) + kLastChunk), Hold()});
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream-once/1");
    REQUIRE(Unchunk(answer) == Event(0));
    REQUIRE_FALSE(IsComplete(answer));
    REQUIRE(stand.model_2.requests().empty());
  }

  SECTION("a stage refuses, and the chain's first endpoint names it") {
    stand.model_1.Then({Send(Answer("503 Service Unavailable", "",
                                    "X-Not-Executed: 1\r\nAt-Server: " +
                                        stand.model_1.address() + "\r\n")),
                        Close()});
    stand.model_2.Then(
        {Send(StreamHead("s2") + Chunk(whole) + kLastChunk), Hold()});
    stand.Start();
    REQUIRE(Unchunk(stand.Ask("POST", "/stream/1")) == whole);
  }

  SECTION("the caller goes away") {
    stand.model_1.Then({Send(StreamHead("s1") + Chunk(Event(0))), Hold()});
    stand.Start();
    {
      support::RawConnection connection(stand.server.address());
      connection.Send(
          RelayStand::Request("POST", "/stream/1", "Api-Key: key-1\r\n"));
      connection.ReadUntil("data");
    }
    REQUIRE(Soon([&] { return stand.model_1.closed_while_held() == 1; }));
    REQUIRE(stand.model_2.requests().empty());
  }
}

TEST_CASE("a planned stop begins while a stream runs on a kept connection") {
  RelayStand stand;
  stand.model_1.Then({Send(StreamHead("s1") + Chunk(Event(0))),
                      Wait(milliseconds(300)),
                      Send(Chunk(Event(1)) + kLastChunk), Hold()});
  stand.Start();
  support::RawConnection connection(stand.server.address());
  std::string request =
      RelayStand::Request("POST", "/stream/1", "Api-Key: key-1\r\n");
  request.erase(request.find("Connection: close\r\n"), 19);
  connection.Send(request);
  connection.ReadUntil("id: 0");
  stand.server.DisableKeepAlive();

  SECTION("until the listener closes a further request is still served") {
    connection.ReadUntil(kLastChunk);
    connection.Send(request);
    REQUIRE(Contains(connection.ReadAll(), "Connection: close"));
    REQUIRE(stand.model_1.requests().size() == 2);
    return;
  }
  stand.server.Close();

  SECTION("the stream is finished, and no further request is taken") {
    connection.ReadUntil(kLastChunk);
    connection.Send(request);
    const std::string all = connection.ReadAll();
    REQUIRE(Unchunk(all) == Event(0) + Event(1));
    REQUIRE(stand.model_1.requests().size() == 1);
    REQUIRE(stand.model_2.requests().empty());
  }
  SECTION("a request that was sent early is not read either") {
    connection.Send(request);
    connection.ReadAll();
    REQUIRE(stand.model_1.requests().size() == 1);
    REQUIRE(stand.model_2.requests().empty());
  }
}

TEST_CASE("a chain on which nothing moves any more") {
  RelayStand stand;
  stand.model_1.Then({Send(StreamHead("s1") + Chunk(Event(0))), Hold()});
  stand.model_2.Then(
      {Send(StreamHead("s2") + Chunk(Event(1) + Event(2)) + kLastChunk),
       Hold()});
  const auto watch = [&] {
    boost::asio::co_spawn(stand.context, stand.inspector.Watch(),
                          boost::asio::detached);
  };

  SECTION("its endpoint does not answer questions") {
    stand.model_1.report = "";
    watch();
    stand.Start();
    const auto answer = stand.Ask("POST", "/stream/1");
    REQUIRE(Unchunk(answer) == Event(0) + Event(1) + Event(2));
    REQUIRE(IsComplete(answer));
  }

  SECTION("its endpoint names the stage that it waits for") {
    stand.model_1.report = R"({"Stalled":[{"Id":"r1","Address":")" +
                           stand.model_1.address() + R"("}]})";
    watch();
    stand.Start();
    REQUIRE(Unchunk(stand.Ask("POST", "/stream/1")) ==
            Event(0) + Event(1) + Event(2));
  }

  SECTION("it is merely slow") {
    watch();
    stand.Start(
        [](RelayRoute& route) { route.time_limit = milliseconds(1'200); });
    REQUIRE(Unchunk(stand.Ask("POST", "/stream/1")) == Event(0));
    REQUIRE(stand.model_2.requests().empty());
  }
}

}  // namespace
}  // namespace sycamoreford
