#include "store.h"

#include <array>
#include <cctype>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace review {
namespace {

constexpr Milliseconds kAnswerTime{4};

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const unsigned char byte =
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > bytes.size();
      text += is_padding ? '=' : kAlphabet[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const std::size_t digit = kAlphabet.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      bytes += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      bytes += text[i];
    }
  }
  return bytes;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::istringstream items(mark == std::string::npos ? ""
                                                     : target.substr(mark + 1));
  for (std::string item; std::getline(items, item, '&');) {
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) {
      query[item.substr(0, equals)] = DecodePercent(item.substr(equals + 1));
    }
  }
  return query;
}

std::string ValueOr(const std::map<std::string, std::string>& query,
                    const std::string& name,
                    const std::string& fallback) {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

std::string TextOf(const boost::json::value& entry, std::string_view name) {
  return std::string(entry.at(name).as_string());
}

}  // namespace

Store::Store()
    : server_([this](Connection& connection, const Message& request) {
        return Answer(connection, request);
      }) {}

Store::~Store() {
  GoAway();
}

std::uint64_t Store::Write(const std::string& table,
                           const std::string& key,
                           const std::string& value) {
  const std::lock_guard lock(mutex_);
  if (is_away_ || is_silent_) {
    return 0;
  }
  state_.rows[{table, key}] = {value, ++state_.newest, false};
  changed_.notify_all();
  return state_.newest;
}

void Store::Drop(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = state_.rows.find({table, key});
  if (!is_away_ && !is_silent_ && found != state_.rows.end() &&
      !found->second.is_deleted) {
    found->second = {"", ++state_.newest, true};
    changed_.notify_all();
  }
}

std::uint64_t Store::newest() {
  const std::lock_guard lock(mutex_);
  return state_.newest;
}

Store::Copy Store::TakeCopy() {
  const std::lock_guard lock(mutex_);
  return state_;
}

void Store::GoAway() {
  {
    const std::lock_guard lock(mutex_);
    is_away_ = true;
    changed_.notify_all();
  }
  server_.Stop();
}

void Store::FallSilent() {
  const std::lock_guard lock(mutex_);
  is_silent_ = true;
  ++silences_;
  changed_.notify_all();
}

void Store::ComeBack(const Copy& copy) {
  {
    const std::lock_guard lock(mutex_);
    state_ = copy;
    ++era_;
    is_silent_ = false;
    if (!std::exchange(is_away_, false)) {
      return;
    }
  }
  server_.Start();
}

int Store::WriteAgain(const Copy& lost, const Copy& copy) {
  int rows = 0;
  for (const auto& [key, row] : lost.rows) {
    const auto found = copy.rows.find(key);
    const bool is_lost = found == copy.rows.end() ||
                         found->second.value != row.value ||
                         found->second.is_deleted != row.is_deleted;
    if (!is_lost || (key.first != "op" && key.first != "servers")) {
      continue;
    }
    ++rows;
    if (row.is_deleted) {
      Drop(key.first, key.second);
    } else {
      Write(key.first, key.second, row.value);
    }
  }
  return rows;
}

bool Store::Answer(Connection& connection, const Message& request) {
  int silences = 0;
  bool is_lost = false;
  {
    const std::lock_guard lock(mutex_);
    silences = silences_;
    is_lost = is_silent_;
  }
  std::this_thread::sleep_for(kAnswerTime);
  const std::string target = request.target();
  const auto query = ParseQuery(target);
  int status = 200;
  std::string body;
  if (is_lost) {
    body.clear();
  } else if (target.starts_with("/rows-tx")) {
    body = RunTransaction(request.body, status);
  } else if (target.starts_with("/rows-get")) {
    body = Get(query);
  } else if (target.starts_with("/rows-feed")) {
    body = Feed(query, silences, status);
  } else {
    status = 404;
  }
  std::string era;
  {
    const std::lock_guard lock(mutex_);
    if (is_away_) {
      return false;
    }
    is_lost = is_lost || silences != silences_;
    era = std::to_string(era_);
  }
  if (is_lost) {
    // Nothing more is delivered on this connection.
    constexpr Milliseconds kForGood{100'000};
    (void)connection.Read(kForGood);
    return false;
  }
  return connection.Write(Response(status, body, {{"Store-Era", era}}));
}

std::string Store::RunTransaction(const std::string& body, int& status) {
  const boost::json::value transaction = boost::json::parse(body);
  const std::lock_guard lock(mutex_);
  const auto list = [&](std::string_view name) {
    const auto* entries = transaction.as_object().if_contains(name);
    return entries == nullptr ? boost::json::array() : entries->as_array();
  };
  for (const boost::json::value& entry : list("ExpectedRevision")) {
    const auto found =
        state_.rows.find({TextOf(entry, "Table"), TextOf(entry, "Key")});
    const std::uint64_t version =
        found == state_.rows.end() || found->second.is_deleted
            ? 0
            : found->second.version;
    if (entry.at("ObjectVersion").to_number<std::uint64_t>() != version) {
      status = 412;
    }
  }
  if (!is_away_ && !is_silent_ && status == 200) {
    ++state_.newest;
    for (const boost::json::value& entry : list("SetKeys")) {
      state_.rows[{TextOf(entry, "Table"), TextOf(entry, "Key")}] = {
          DecodeBase64(TextOf(entry, "Value")), state_.newest, false};
    }
    for (const boost::json::value& entry : list("Delete")) {
      state_.rows[{TextOf(entry, "Table"), TextOf(entry, "Key")}] = {
          "", state_.newest, true};
    }
    changed_.notify_all();
  }
  return R"({"Rows":[],"ObjectVersion":)" + std::to_string(state_.newest) + "}";
}

std::string Store::Listing(const std::string& table,
                           std::uint64_t after,
                           const std::string& from,
                           const std::string& to,
                           bool marks_deleted,
                           int& count) {
  // In the order of the versions for changes, else of the keys.
  std::map<std::pair<std::uint64_t, std::string>, boost::json::object> rows;
  for (const auto& [key, row] : state_.rows) {
    if (key.first != table || row.version <= after || key.second < from ||
        (!to.empty() && key.second >= to) ||
        (row.is_deleted && !marks_deleted)) {
      continue;
    }
    boost::json::object item = {{"Table", table},
                                {"part", ""},
                                {"Key", key.second},
                                {"ObjectVersion", row.version}};
    if (row.is_deleted) {
      item["Deleted"] = true;
    } else {
      item["Value"] = EncodeBase64(row.value);
    }
    rows[{marks_deleted ? row.version : 0, key.second}] = std::move(item);
  }
  boost::json::array list;
  for (auto& [order, item] : rows) {
    list.push_back(std::move(item));
  }
  count = static_cast<int>(list.size());
  const auto time =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started_at_);
  return boost::json::serialize(
      boost::json::object{{"Rows", std::move(list)},
                          {"HasMore", false},
                          {"ObjectVersion", state_.newest},
                          {"ServerTimeMs", time.count()}});
}

std::string Store::Get(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  int count = 0;
  return Listing(ValueOr(query, "Table", ""), 0, ValueOr(query, "From", ""),
                 ValueOr(query, "To", ""), false, count);
}

std::string Store::Feed(const std::map<std::string, std::string>& query,
                        int silences,
                        int& status) {
  const std::uint64_t after = std::stoull(ValueOr(query, "AfterRevision", "0"));
  const Milliseconds wait(std::stoll(ValueOr(query, "WaitMs", "0")));
  const auto deadline = Clock::now() + wait;
  std::unique_lock lock(mutex_);
  for (;;) {
    if (after > state_.newest) {
      status = 410;
      return "{}";
    }
    int count = 0;
    std::string body =
        Listing(ValueOr(query, "Table", ""), after, "", "", true, count);
    if (count > 0 || is_away_ || silences != silences_ ||
        changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
      return body;
    }
  }
}

}  // namespace review
