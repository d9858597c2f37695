#include "store.h"

#include <algorithm>
#include <cstdlib>

#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

constexpr const char* kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
/// Time that the store takes for an answer.
constexpr int kAnswerMs = 4;

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::size_t at = i + j;
      group = group << 8U |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > bytes.size();
      text += is_padding ? '=' : kAlphabet[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  const std::string alphabet = kAlphabet;
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char c : text) {
    const std::size_t value = alphabet.find(c);
    if (value == std::string::npos) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255U);
    }
  }
  return bytes;
}

Store::Store(const std::string& ip)
    : server_(ip, [this](Channel& channel) { Handle(channel); }) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    is_away_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

void Store::Apply(const std::string& table,
                  const std::string& key,
                  const std::string& value,
                  bool is_deleted) {
  Change change{.version = content_.version,
                .table = table,
                .key = key,
                .value = value,
                .is_deleted = is_deleted};
  content_.history.push_back(change);
  if (is_deleted) {
    content_.rows.erase({table, key});
  } else {
    content_.rows[{table, key}] = std::move(change);
  }
}

bool Store::Write(const std::string& table,
                  const std::string& key,
                  const std::string& value) {
  const std::lock_guard lock(mutex_);
  if (is_away_) {
    return false;
  }
  ++content_.version;
  Apply(table, key, value, false);
  changed_.notify_all();
  return true;
}

bool Store::Erase(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (is_away_) {
    return false;
  }
  ++content_.version;
  Apply(table, key, "", true);
  changed_.notify_all();
  return true;
}

std::string Store::Read(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = content_.rows.find({table, key});
  return found == content_.rows.end() ? "" : found->second.value;
}

std::uint64_t Store::version() {
  const std::lock_guard lock(mutex_);
  return content_.version;
}

bool Store::is_away() {
  const std::lock_guard lock(mutex_);
  return is_away_;
}

void Store::TakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = content_;
}

void Store::GoAway() {
  {
    const std::lock_guard lock(mutex_);
    is_away_ = true;
  }
  changed_.notify_all();
  server_.SetAway(true);
}

void Store::ComeBackFromCopy(
    const std::vector<std::pair<std::string, std::string>>& first_writes) {
  {
    const std::lock_guard lock(mutex_);
    content_ = copy_;
    ++era_;
    is_away_ = false;
    for (const auto& [key, value] : first_writes) {
      ++content_.version;
      Apply("op", key, value, false);
    }
  }
  server_.SetAway(false);
}

void Store::Handle(Channel& channel) {
  const auto request = channel.Read(true, milliseconds(5'000));
  if (!request) {
    return;
  }
  SleepMs(kAnswerMs);
  const std::string response = Respond(*request, channel);
  if (response.empty()) {
    channel.Reset();
    return;
  }
  channel.Write(response);
}

std::string Store::Respond(const Message& request, const Channel& channel) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/rows-get") {
    return Get(request);
  }
  if (path == "/rows-feed") {
    return Feed(request, channel);
  }
  if (path == "/rows-tx") {
    return Transact(request);
  }
  return Answer(404, "{}");
}

std::string Store::Answer(unsigned status, const std::string& body) const {
  return FormatResponse(status,
                        "Content-Type: application/json\r\nStore-Era: " +
                            std::to_string(era_) + "\r\n",
                        body);
}

std::string Store::Body(const std::vector<Change>& rows, bool has_more) const {
  json::array list;
  for (const Change& row : rows) {
    json::object item{{"Table", row.table},
                      {"part", ""},
                      {"Key", row.key},
                      {"ObjectVersion", row.version}};
    if (row.is_deleted) {
      item["Deleted"] = true;
    } else {
      item["Value"] = EncodeBase64(row.value);
    }
    list.push_back(std::move(item));
  }
  return json::serialize(
      json::object{{"Rows", std::move(list)},
                   {"HasMore", has_more},
                   {"ObjectVersion", content_.version},
                   {"ServerTimeMs", static_cast<std::int64_t>(Now() * 1'000)}});
}

std::string Store::Get(const Message& request) {
  const std::string table = request.Parameter("Table");
  const std::string from = request.Parameter("From");
  const std::string to = request.Parameter("To");
  const std::string limit = request.Parameter("Limit");
  const std::size_t max = limit.empty() ? 500 : ToNumber(limit);
  const std::lock_guard lock(mutex_);
  if (is_away_) {
    return {};
  }
  std::vector<Change> rows;
  bool has_more = false;
  for (const auto& [key, row] : content_.rows) {
    if (key.first != table || key.second < from ||
        (!to.empty() && key.second >= to)) {
      continue;
    }
    if (rows.size() >= max) {
      has_more = true;
      break;
    }
    rows.push_back(row);
  }
  return Answer(200, Body(rows, has_more));
}

std::string Store::Feed(const Message& request, const Channel& channel) {
  const std::string table = request.Parameter("Table");
  const std::uint64_t after = ToNumber(request.Parameter("AfterRevision"));
  const auto deadline =
      Clock::now() + milliseconds(ToNumber(request.Parameter("WaitMs")));
  std::unique_lock lock(mutex_);
  const std::uint64_t era = era_;
  for (;;) {
    if (is_away_ || era != era_) {
      return {};
    }
    if (after > content_.version) {
      return Answer(410, "{}");
    }
    std::vector<Change> rows;
    std::copy_if(content_.history.begin(), content_.history.end(),
                 std::back_inserter(rows), [&](const Change& it) {
                   return it.table == table && it.version > after;
                 });
    if (!rows.empty() || Clock::now() >= deadline || channel.IsClosedByPeer()) {
      return Answer(200, Body(rows, false));
    }
    changed_.wait_until(lock,
                        std::min(deadline, Clock::now() + milliseconds(50)));
  }
}

std::string Store::Transact(const Message& request) {
  const json::value value = json::parse(request.body);
  const std::lock_guard lock(mutex_);
  if (is_away_) {
    return {};
  }
  const auto key_of = [](const json::value& it) {
    return std::pair(std::string(it.at("Table").as_string()),
                     std::string(it.at("Key").as_string()));
  };
  for (const json::value& it : value.at("ExpectedRevision").as_array()) {
    const auto found = content_.rows.find(key_of(it));
    const std::uint64_t version =
        found == content_.rows.end() ? 0 : found->second.version;
    if (version != it.at("ObjectVersion").to_number<std::uint64_t>()) {
      return Answer(412, Body({}, false));
    }
  }
  ++content_.version;
  for (const json::value& it : value.at("SetKeys").as_array()) {
    const auto [table, key] = key_of(it);
    Apply(table, key, DecodeBase64(std::string(it.at("Value").as_string())),
          false);
  }
  for (const json::value& it : value.at("Delete").as_array()) {
    const auto [table, key] = key_of(it);
    Apply(table, key, "", true);
  }
  changed_.notify_all();
  return Answer(200, Body({}, false));
}

}  // namespace review
