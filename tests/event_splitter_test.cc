// An event stream arrives in arbitrary chunks, is interrupted and resumed at
// another endpoint.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/relay/event_splitter.h"

namespace sycamoreford {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
         "\n\n";
}

std::string Events(int first, int end) {
  std::string text;
  for (int id = first; id < end; ++id) {
    text += Event(id);
  }
  return text;
}

TEST_CASE("splitting a stream into complete events") {
  EventSplitter splitter;

  SECTION("an event arrives in two chunks") {
    REQUIRE(splitter.Feed("id: 1\nda").empty());
    REQUIRE(splitter.last_id().empty());
    REQUIRE(splitter.Feed("ta: x\n\nid: 2") == "id: 1\ndata: x\n\n");
    REQUIRE(splitter.last_id() == "1");
    REQUIRE(splitter.incomplete_event() == "id: 2");

    SECTION("the stream is interrupted and resumed at another endpoint") {
      splitter.Restart();
      REQUIRE(splitter.incomplete_event().empty());
      REQUIRE(splitter.Feed(Event(2)) == Event(2));
      REQUIRE(splitter.event_count() == 2);
    }

    SECTION("the other endpoint sends delivered events again") {
      splitter.Restart();
      REQUIRE(splitter.Feed(Event(1) + Event(2)) == Event(2));
    }
  }

  SECTION("an event has no id") {
    REQUIRE(splitter.Feed("data: x\n\n") == "data: x\n\n");
    REQUIRE(splitter.last_id().empty());
    REQUIRE(splitter.event_count() == 1);
  }
}

TEST_CASE("a stream that is interrupted anywhere and resumed") {
  REQUIRE(rc::check("delivers each event once and in order", [] {
    const int count = *rc::gen::inRange(1, 30);
    EventSplitter splitter;
    std::string delivered;
    int next = 0;
    for (int run = 0; run < 4; ++run) {
      // A resumed stream may begin with events that were already delivered.
      const int repeated = run == 0 ? 0 : *rc::gen::inRange(0, next + 1);
      const std::string text = Events(next - repeated, count);
      const auto cut = run == 3
                           ? text.size()
                           : *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      std::size_t at = 0;
      while (at < cut) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        const auto chunk = text.substr(at, std::min(size, cut - at));
        delivered += splitter.Feed(chunk);
        at += chunk.size();
      }
      next = splitter.last_id().empty() ? 0 : std::stoi(splitter.last_id()) + 1;
      splitter.Restart();
    }
    RC_ASSERT(delivered == Events(0, count));
  }));
}

}  // namespace
}  // namespace sycamoreford
