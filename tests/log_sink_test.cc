// The log sink never blocks on its reader and reports how many lines it
// dropped.
#include <fcntl.h>
#include <unistd.h>

#include <array>

#include <catch2/catch.hpp>

#include "sycamoreford/core/log_sink.h"

namespace sycamoreford {
namespace {

using std::chrono::seconds;

/// A pipe that is read only by calls of `Read`.
struct Pipe {
  Pipe() {
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  [[nodiscard]] std::string Read() const {
    std::string text;
    std::array<char, 4096> bytes{};
    for (ssize_t size = 0;
         (size = read(ends[0], bytes.data(), bytes.size())) > 0;) {
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
  std::array<int, 2> ends{};
};

TEST_CASE("writing log lines") {
  Pipe pipe;
  LogSink sink(pipe.ends[1]);
  TimePoint now{std::chrono::hours(1)};

  SECTION("a reader that keeps up gets all lines") {
    sink.Write("one", now);
    sink.Write("two", now);
    REQUIRE(pipe.Read() == "one\ntwo\n");
  }

  SECTION("lines are dropped if the reader has stopped") {
    const std::string line(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) {
      now += std::chrono::milliseconds(10);
      sink.Write(line, now);
    }
    REQUIRE(sink.dropped() > 0);

    SECTION("and it gets the buffered lines and the dropped count later") {
      std::string text = pipe.Read();
      for (int i = 0; i < 50; ++i) {
        now += seconds(1);
        sink.Write("after", now);
        text += pipe.Read();
      }
      REQUIRE(text.find("event=log_lines_dropped lines=") != std::string::npos);
      REQUIRE(text.find("after\n") != std::string::npos);
    }
  }

  SECTION("lines above the rate limit are dropped") {
    std::string text;
    for (int i = 0; i < 10'000; ++i) {
      now += std::chrono::milliseconds(1);
      sink.Write("line", now);
      text += pipe.Read();
    }
    REQUIRE(sink.dropped() > 4'000);
    REQUIRE(std::count(text.begin(), text.end(), '\n') < 10'000 * 0.6);
  }
}

}  // namespace
}  // namespace sycamoreford
