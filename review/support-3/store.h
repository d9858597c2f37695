// A stand-in for the platform's store: rows, transactions and the feed.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "http.h"

namespace review {

namespace json = boost::json;

inline std::string EncodeBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

class Store {
 public:
  explicit Store(const std::string& ip) : server_(ip) {
    server_.Start([this](Socket& socket) { Serve(socket); });
  }

  [[nodiscard]] std::string address() const { return server_.address(); }

  /// Writes a row as the operator or a replica does.
  void Set(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++version_;
    Change(table, "", key, EncodeBase64(value), false);
    changed_.notify_all();
  }

  /// From now on nothing comes on the connections that are open; new ones work.
  void SilenceOpenConnections() {
    const std::lock_guard lock(mutex_);
    ++epoch_;
  }

  void Delete(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (rows_.contains({table, "", key})) {
      ++version_;
      Change(table, "", key, "", true);
      changed_.notify_all();
    }
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct LoggedChange {
    Key key;
    std::string value;
    std::uint64_t version = 0;
    bool is_deleted = false;
  };

  /// Precondition: `mutex_` is held and `version_` was increased.
  void Change(const std::string& table,
              const std::string& part,
              const std::string& name,
              const std::string& value,
              bool is_deleted) {
    const Key key(table, part, name);
    if (is_deleted) {
      rows_.erase(key);
    } else {
      rows_[key] = {value, version_};
    }
    log_.push_back({key, value, version_, is_deleted});
  }

  [[nodiscard]] std::uint64_t epoch() {
    const std::lock_guard lock(mutex_);
    return epoch_;
  }

  void Serve(Socket& socket) {
    const std::uint64_t epoch_of_connection = epoch();
    while (server_.is_running()) {
      const auto request = ReadRequest(socket, Ms(30'000));
      if (!request) {
        return;
      }
      std::this_thread::sleep_for(Ms(4));
      int status = 200;
      json::object body;
      if (request->path() == "/rows-get") {
        body = Get(*request);
      } else if (request->path() == "/rows-feed") {
        body = Feed(*request);
      } else if (request->path() == "/rows-tx") {
        body = Transact(json::parse(request->body).as_object(), status);
      } else {
        status = 404;
      }
      if (epoch() != epoch_of_connection) {
        while (server_.is_running() && !socket.HasEnded()) {
          std::this_thread::sleep_for(Ms(20));
        }
        return;
      }
      body["ServerTimeMs"] =
          std::chrono::duration_cast<Ms>(Now().time_since_epoch()).count();
      if (!socket.Write(FormatResponse(status,
                                       {{"Content-Type", "application/json"}},
                                       json::serialize(body)))) {
        return;
      }
      if (ToLower(request->Get("connection")) == "close") {
        return;
      }
    }
  }

  static json::object ToJson(const Key& key, const Row& row) {
    return {{"Table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"Key", std::get<2>(key)},
            {"Value", row.value},
            {"ObjectVersion", row.version}};
  }

  json::object Get(const Request& request) {
    const std::lock_guard lock(mutex_);
    const std::string to = request.Parameter("To");
    const std::string limit = request.Parameter("Limit");
    const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
    json::array rows;
    bool has_more = false;
    const Key first(request.Parameter("Table"), request.Parameter("part"),
                    request.Parameter("From"));
    for (auto it = rows_.lower_bound(first); it != rows_.end(); ++it) {
      const auto& [table, part, name] = it->first;
      if (table != std::get<0>(first) || part != std::get<1>(first) ||
          (!to.empty() && name >= to)) {
        break;
      }
      if (rows.size() >= most) {
        has_more = true;
        break;
      }
      rows.push_back(ToJson(it->first, it->second));
    }
    return {{"Rows", rows}, {"HasMore", has_more}, {"ObjectVersion", version_}};
  }

  json::object Feed(const Request& request) {
    const std::uint64_t after = std::stoull(request.Parameter("AfterRevision"));
    const SteadyTime deadline =
        Now() + Ms(std::stol("0" + request.Parameter("WaitMs")));
    const std::string table = request.Parameter("Table");
    std::unique_lock lock(mutex_);
    json::array rows;
    for (;;) {
      for (const LoggedChange& it : log_) {
        if (it.version > after && std::get<0>(it.key) == table) {
          json::object row = ToJson(it.key, {it.value, it.version});
          if (it.is_deleted) {
            row["Deleted"] = true;
          }
          rows.push_back(std::move(row));
        }
      }
      if (!rows.empty() || !server_.is_running() ||
          changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
        return {{"Rows", rows}, {"ObjectVersion", version_}};
      }
    }
  }

  json::object Transact(const json::object& entries, int& status) {
    const std::lock_guard lock(mutex_);
    const auto list = [&](const char* name) {
      const json::value* value = entries.if_contains(name);
      return value == nullptr ? json::array() : value->as_array();
    };
    const auto key_of = [](const json::value& entry) {
      const auto text = [&](const char* name) {
        const json::value* value = entry.as_object().if_contains(name);
        return value == nullptr ? std::string()
                                : json::value_to<std::string>(*value);
      };
      return Key(text("Table"), text("part"), text("Key"));
    };
    json::array current;
    for (const json::value& entry : list("ExpectedRevision")) {
      const auto found = rows_.find(key_of(entry));
      const std::uint64_t version =
          found == rows_.end() ? 0 : found->second.version;
      if (version != entry.at("ObjectVersion").to_number<std::uint64_t>()) {
        status = 412;
      }
      if (found != rows_.end()) {
        current.push_back(ToJson(found->first, found->second));
      }
    }
    if (status == 412) {
      return {{"Rows", current}, {"ObjectVersion", version_}};
    }
    ++version_;
    for (const json::value& entry : list("SetKeys")) {
      const auto [table, part, name] = key_of(entry);
      Change(table, part, name, json::value_to<std::string>(entry.at("Value")),
             false);
    }
    for (const json::value& entry : list("Delete")) {
      const auto [table, part, name] = key_of(entry);
      Change(table, part, name, "", true);
    }
    changed_.notify_all();
    return {{"ObjectVersion", version_}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<LoggedChange> log_;
  std::uint64_t version_ = 1;
  /// Increased when the open connections fall silent.
  std::uint64_t epoch_ = 0;
  Server server_;
};

}  // namespace review
