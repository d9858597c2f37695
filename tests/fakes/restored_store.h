#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "support/relay_fleet.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/clock.h"

namespace sycamoreford::fakes {

/// A store that may come back from an older copy of itself: what was written
/// since is gone, its versions are given out again, and a new era begins.
///
/// A call that is open then gets no response.
///
/// Thread safety: none; runs on the thread of the context.
class RestoredStore {
 public:
  explicit RestoredStore(boost::asio::io_context& context)
      : server_(context,
                "127.0.0.1:0",
                HttpLimits{},
                [this](HttpExchange& exchange) { return Handle(exchange); }) {}

  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return content_.version;
  }

  /// Whether responses state the era.
  bool states_era = true;

  void WriteConfiguration(std::uint64_t revision) {
    Write("op", "config",
          R"({"Version":)" + std::to_string(revision) +
              R"(,"Services":[{"Name":"plain"}],"Routes":[]})");
  }
  void WriteEndpoint(const std::string& id) {
    Write("servers", id,
          R"({"Service":"plain","State":"ready","Zone":"north","Address":)"
          R"("10.0.0.1:80","born":1})");
  }
  void RemoveEndpoint(const std::string& id) {
    Write("servers", id, std::nullopt);
  }

  void TakeCopy() { copy_ = content_; }
  void ComeBackFromCopy() {
    content_ = copy_;
    ++era_;
  }

 private:
  struct Change {
    std::string table;
    std::string key;
    /// Nothing if the row was removed.
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };
  struct Content {
    std::uint64_t version = 90;
    std::vector<Change> history;
  };

  void Write(std::string table,
             std::string key,
             std::optional<std::string> value) {
    content_.history.push_back({.table = std::move(table),
                                .key = std::move(key),
                                .value = std::move(value),
                                .version = ++content_.version});
  }

  static std::uint64_t NumberIn(const std::string& target,
                                const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::stoull(target.substr(at + name.size() + 1));
  }

  [[nodiscard]] std::map<std::string, Change> ChangesAfter(
      const std::string& target,
      std::uint64_t after) const {
    std::map<std::string, Change> last;
    for (const Change& change : content_.history) {
      if (target.find("Table=" + change.table + "&") != std::string::npos &&
          change.version > after) {
        last[change.key] = change;
      }
    }
    return last;
  }

  [[nodiscard]] std::string Body(const std::map<std::string, Change>& changes,
                                 bool is_poll) const {
    boost::json::array rows;
    for (const auto& [key, change] : changes) {
      boost::json::object row{{"Key", key}, {"ObjectVersion", change.version}};
      if (change.value) {
        row["Value"] = support::RelayFleet::EncodeBase64(*change.value);
      } else if (is_poll) {
        row["Deleted"] = true;
      } else {
        continue;
      }
      rows.push_back(std::move(row));
    }
    return boost::json::serialize(boost::json::object{
        {"ObjectVersion", content_.version}, {"Rows", std::move(rows)}});
  }

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.request().target;
    const bool is_poll = target.starts_with("/rows-feed");
    const std::uint64_t after = NumberIn(target, "AfterRevision");
    const TimePoint deadline =
        clock_.Now() + std::chrono::milliseconds(NumberIn(target, "WaitMs"));
    const std::uint64_t era = era_;
    co_await Pause(kTick);
    while (is_poll && era == era_ && after <= content_.version &&
           ChangesAfter(target, after).empty() && clock_.Now() < deadline) {
      co_await Pause(kTick);
    }
    while (era != era_) {
      // Ends when the client gives up.
      co_await Pause(std::chrono::seconds(60));
    }
    HttpResponse response;
    if (states_era) {
      response.fields.Add("Store-Era", std::to_string(era_));
    }
    response.body = Body(ChangesAfter(target, after), is_poll);
    if (is_poll && after > content_.version) {
      response.status = 410;
      response.body = "{}";
    }
    co_await exchange.Respond(std::move(response));
  }

  static constexpr std::chrono::milliseconds kTick{4};

  SteadyClock clock_;
  Content content_;
  Content copy_;
  std::uint64_t era_ = 1;
  HttpServer server_;
};

}  // namespace sycamoreford::fakes
