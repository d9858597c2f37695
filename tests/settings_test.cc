// Settings are validated completely: each error is reported with the path of
// its field.
#include <fstream>
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "support/process.h"
#include "sycamoreford/settings/settings.h"

namespace sycamoreford {
namespace {

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Example() {
  return ReadFile(EXAMPLE_SETTINGS);
}

std::set<std::string> ErrorPathsOf(const std::string& text) {
  std::set<std::string> paths;
  for (const SettingsError& error : ParseSettings(text).errors) {
    paths.insert(error.path);
  }
  return paths;
}

std::string ExampleWith(const std::string& from, const std::string& to) {
  std::string text = Example();
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("the example file is valid and contains the defaults") {
  const ParsedSettings parsed = ParseSettings(Example());
  REQUIRE(parsed.is_valid());
  const Settings::Limits defaults;
  const Settings::Limits& limits = parsed.settings.limits;
  CHECK(limits.workers == defaults.workers);
  CHECK(limits.connections == defaults.connections);
  CHECK(limits.header_bytes == defaults.header_bytes);
  CHECK(limits.body_bytes == defaults.body_bytes);
  CHECK(limits.attempts == defaults.attempts);
  CHECK(limits.memory_budget_mb == defaults.memory_budget_mb);
  CHECK(limits.metrics_series == defaults.metrics_series);
  CHECK(limits.request_timeout == defaults.request_timeout);
  CHECK(limits.idle_timeout == defaults.idle_timeout);
  CHECK(limits.drain_notice == defaults.drain_notice);
  CHECK(limits.drain_timeout == defaults.drain_timeout);

  SECTION("the daemon checks it and exits") {
    support::Process check("sycamored",
                           {"--settings", EXAMPLE_SETTINGS, "--check"});
    REQUIRE(check.Wait(std::chrono::seconds(10)) == 0);
    REQUIRE(check.Output() == "settings are valid\n");
  }
}

TEST_CASE("each error is reported with its path") {
  using Paths = std::set<std::string>;
  SECTION("one invalid field at a time") {
    CHECK(ErrorPathsOf(ExampleWith("\"name\": \"entry-1\"", "\"name\": 5")) ==
          Paths{"name"});
    CHECK(ErrorPathsOf(ExampleWith("\"region\"", "\"regoin\"")) ==
          Paths{"region", "regoin"});
    CHECK(ErrorPathsOf(ExampleWith("10.0.1.5:8080", "host:8080")) ==
          Paths{"listen.callers"});
    CHECK(ErrorPathsOf(ExampleWith("10.0.1.5:8080", "10.0.1.5:99999")) ==
          Paths{"listen.callers"});
    CHECK(ErrorPathsOf(ExampleWith("\"workers\": 2", "\"workers\": 0")) ==
          Paths{"limits.workers"});
    CHECK(ErrorPathsOf(ExampleWith("\"workers\": 2", "\"workers\": 2.5")) ==
          Paths{"limits.workers"});
    CHECK(ErrorPathsOf(ExampleWith("\"workers\": 2", "\"workers\": -1")) ==
          Paths{"limits.workers"});
    CHECK(ErrorPathsOf(ExampleWith("\"attempts\": 6", "\"attempts\": \"6\"")) ==
          Paths{"limits.attempts"});
    CHECK(ErrorPathsOf(ExampleWith("\"timeout_ms\": 1500",
                                   "\"timeout_ms\": 99999999999")) ==
          Paths{"table.timeout_ms"});
    CHECK(ErrorPathsOf(ExampleWith("\"drain_timeout_ms\": 130000",
                                   "\"drain_timeout_ms\": 119999")) ==
          Paths{"limits.drain_timeout_ms"});
    CHECK(ErrorPathsOf(ExampleWith("\"token_salt\"", "\"salt\"")) ==
          Paths{"operators[0].token_salt", "operators[0].salt"});
    CHECK(ErrorPathsOf(ExampleWith("\"operators\": [",
                                   "\"operators\": 1, \"more\": [")) ==
          Paths{"operators", "more"});
  }
  SECTION("several invalid fields at once") {
    CHECK(ErrorPathsOf(
              R"({"name":"","listen":[],"limits":{"workers":"x","y":1}})") ==
          Paths{"name", "data_center", "region", "listen", "table",
                "limits.workers", "limits.y", "operators"});
  }
  SECTION("invalid JSON is one error with its position") {
    for (const std::string& text :
         {std::string(), std::string("{"), std::string("[1"),
          Example() + "trailing", Example() + "{}", std::string(5000, '[')}) {
      const ParsedSettings parsed = ParseSettings(text);
      REQUIRE(parsed.errors.size() == 1);
      CHECK(parsed.errors[0].path.starts_with("byte "));
    }
  }
  SECTION("comments and whitespace after the end are valid") {
    CHECK(ParseSettings(Example() + "\n // the end\n").is_valid());
  }
  SECTION("a missing file") {
    support::Process check("sycamored", {"--settings", "/nowhere", "--check"});
    REQUIRE(check.Wait(std::chrono::seconds(10)) == 2);
    REQUIRE(check.Output().find("/nowhere") != std::string::npos);
  }
}

TEST_CASE("the parser survives arbitrary settings text") {
  REQUIRE(
      rc::check("with bytes of a valid text replaced, removed or repeated", [] {
        std::string text = Example();
        const auto edits = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, text.size()));
        for (const std::size_t at : edits) {
          if (at >= text.size()) {
            continue;
          }
          switch (*rc::gen::inRange(0, 3)) {
            case 0:
              text[at] = *rc::gen::arbitrary<char>();
              break;
            case 1:
              text.erase(at, 10);
              break;
            default:
              text.insert(at, text.substr(at, 20));
          }
        }
        const ParsedSettings parsed = ParseSettings(text);
        for (const SettingsError& error : parsed.errors) {
          RC_ASSERT(!error.path.empty() || !error.expected.empty());
        }
      }));
}

}  // namespace
}  // namespace sycamoreford
