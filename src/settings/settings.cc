#include "sycamoreford/settings/settings.h"

#include <fstream>
#include <initializer_list>
#include <limits>
#include <sstream>
#include <string_view>

#include <boost/json.hpp>

#include "impl/parse_address.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;

/// Reads the members of a JSON object and collects all errors.
class ObjectReader {
 public:
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<SettingsError>& errors)
      : path_(std::move(path)), errors_(errors) {
    if (value.is_object()) {
      object_ = &value.as_object();
    } else {
      AddError("", "an object");
    }
  }

  void ReadString(std::string_view key,
                  std::string& out,
                  bool required = true) {
    const json::value* value = Find(key, required);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || value->as_string().empty()) {
      AddError(key, "a non-empty string");
      return;
    }
    out = json::value_to<std::string>(*value);
  }

  void ReadAddress(std::string_view key, std::string& out) {
    ReadString(key, out);
    if (out.empty()) {
      return;
    }
    try {
      (void)impl::ParseAddress(out);
    } catch (const std::system_error&) {
      AddError(key, "an IP address and port");
    }
  }

  void ReadNumber(std::string_view key,
                  std::uint32_t& out,
                  std::uint32_t min,
                  std::uint32_t max) {
    const json::value* value = Find(key, false);
    if (value == nullptr) {
      return;
    }
    boost::system::error_code error;
    const auto number = value->is_number()
                            ? value->to_number<std::uint32_t>(error)
                            : std::uint32_t{0};
    if (!value->is_number() || error || number < min || number > max) {
      AddError(key, "an integer from " + std::to_string(min) + " to " +
                        std::to_string(max));
      return;
    }
    out = number;
  }

  void ReadDuration(std::string_view key,
                    std::chrono::milliseconds& out,
                    std::chrono::milliseconds max) {
    auto count = static_cast<std::uint32_t>(out.count());
    ReadNumber(key, count, 1, static_cast<std::uint32_t>(max.count()));
    out = std::chrono::milliseconds(count);
  }

  /// Returns the member with this key, or null if it is absent, which is an
  /// error if it is required.
  const json::value* Find(std::string_view key, bool required) {
    known_.push_back(key);
    const json::value* value =
        object_ == nullptr ? nullptr : object_->if_contains(key);
    if (value == nullptr && required && object_ != nullptr) {
      AddError(key, "a value; the key is required");
    }
    return value;
  }

  /// Adds an error for the member with this key.
  void AddError(std::string_view key, std::string expected) {
    errors_.push_back({PathOf(key), Errc::kMalformed, std::move(expected)});
  }

  [[nodiscard]] std::string PathOf(std::string_view key) const {
    return path_.empty() || key.empty() ? path_ + std::string(key)
                                        : path_ + "." + std::string(key);
  }

  /// Adds an error for each member that was never looked up.
  void RejectUnknownKeys() {
    if (object_ == nullptr) {
      return;
    }
    for (const auto& member : *object_) {
      bool is_known = false;
      for (const std::string_view key : known_) {
        is_known = is_known || key == std::string_view(member.key());
      }
      if (!is_known) {
        AddError(member.key(), "no such key; the key is unknown");
      }
    }
  }

 private:
  const json::object* object_ = nullptr;
  std::string path_;
  std::vector<SettingsError>& errors_;
  std::vector<std::string_view> known_;
};

constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(1);
constexpr std::uint32_t kMaxBytes = 64U * 1024 * 1024;

void ReadListen(ObjectReader reader, Settings::Listen& listen) {
  reader.ReadAddress("callers", listen.callers);
  reader.ReadAddress("operators", listen.operators);
  reader.ReadAddress("peers", listen.peers);
  reader.RejectUnknownKeys();
}

void ReadTable(ObjectReader reader, Settings::Table& table) {
  reader.ReadAddress("address", table.address);
  reader.ReadDuration("timeout_ms", table.timeout, kMaxDuration);
  reader.ReadDuration("poll_interval_ms", table.poll_interval, kMaxDuration);
  reader.RejectUnknownKeys();
}

void ReadLimits(ObjectReader reader, Settings::Limits& limits) {
  reader.ReadNumber("workers", limits.workers, 1, 64);
  reader.ReadNumber("connections", limits.connections, 1, 1'000'000);
  reader.ReadNumber("header_bytes", limits.header_bytes, 256, kMaxBytes);
  reader.ReadNumber("body_bytes", limits.body_bytes, 256, kMaxBytes);
  reader.ReadNumber("attempts", limits.attempts, 1, 100);
  reader.ReadNumber("default_max_tokens", limits.default_max_tokens, 1,
                    1'000'000);
  reader.ReadNumber("memory_budget_mb", limits.memory_budget_mb, 8, 65'536);
  reader.ReadNumber("metrics_series", limits.metrics_series, 1, 100'000);
  reader.ReadDuration("request_timeout_ms", limits.request_timeout,
                      kMaxDuration);
  reader.ReadDuration("idle_timeout_ms", limits.idle_timeout, kMaxDuration);
  reader.ReadDuration("header_timeout_ms", limits.header_timeout, kMaxDuration);
  reader.ReadDuration("body_timeout_ms", limits.body_timeout, kMaxDuration);
  reader.ReadDuration("write_timeout_ms", limits.write_timeout, kMaxDuration);
  reader.ReadDuration("connect_timeout_ms", limits.connect_timeout,
                      kMaxDuration);
  reader.ReadDuration("first_token_timeout_ms", limits.first_token_timeout,
                      kMaxDuration);
  reader.ReadDuration("between_tokens_timeout_ms",
                      limits.between_tokens_timeout, kMaxDuration);
  reader.ReadDuration("drain_notice_ms", limits.drain_notice, kMaxDuration);
  reader.ReadDuration("drain_timeout_ms", limits.drain_timeout, kMaxDuration);
  reader.ReadDuration("isolation_grace_ms", limits.isolation_grace,
                      kMaxDuration);
  if (limits.drain_timeout < limits.request_timeout) {
    // Otherwise a planned stop would cut off requests that are still within
    // their time limit.
    reader.AddError("drain_timeout_ms",
                    "at least request_timeout_ms, " +
                        std::to_string(limits.request_timeout.count()));
  }
  reader.RejectUnknownKeys();
}

void ReadOperators(const json::value& value,
                   std::vector<SettingsError>& errors,
                   std::vector<OperatorCredential>& operators) {
  if (!value.is_array()) {
    errors.push_back({"operators", Errc::kMalformed, "a list"});
    return;
  }
  for (std::size_t i = 0; i < value.as_array().size(); ++i) {
    OperatorCredential credential;
    ObjectReader reader(value.as_array()[i],
                        "operators[" + std::to_string(i) + "]", errors);
    reader.ReadString("name", credential.name);
    reader.ReadString("token_salt", credential.token_salt);
    reader.ReadString("token_sha256", credential.token_sha256);
    reader.RejectUnknownKeys();
    operators.push_back(std::move(credential));
  }
}

void ReadSeeds(const json::value& value,
               std::vector<SettingsError>& errors,
               std::vector<std::string>& seeds) {
  if (!value.is_array()) {
    errors.push_back({"seeds", Errc::kMalformed, "a list"});
    return;
  }
  for (std::size_t i = 0; i < value.as_array().size(); ++i) {
    const json::value& item = value.as_array()[i];
    try {
      seeds.push_back(json::value_to<std::string>(item));
      (void)impl::ParseAddress(seeds.back());
    } catch (const std::exception&) {
      errors.push_back({"seeds[" + std::to_string(i) + "]", Errc::kMalformed,
                        "an IP address and port"});
    }
  }
}

void ReadRoot(const json::value& root, ParsedSettings& parsed) {
  ObjectReader reader(root, "", parsed.errors);
  Settings& settings = parsed.settings;
  reader.ReadString("name", settings.name);
  reader.ReadString("data_center", settings.data_centre);
  reader.ReadString("region", settings.region);
  if (const json::value* seeds = reader.Find("seeds", false)) {
    ReadSeeds(*seeds, parsed.errors, settings.seeds);
  }
  if (const json::value* listen = reader.Find("listen", true)) {
    ReadListen({*listen, "listen", parsed.errors}, settings.listen);
  }
  if (const json::value* table = reader.Find("table", true)) {
    ReadTable({*table, "table", parsed.errors}, settings.table);
  }
  if (const json::value* limits = reader.Find("limits", false)) {
    ReadLimits({*limits, "limits", parsed.errors}, settings.limits);
  }
  if (const json::value* operators = reader.Find("operators", true)) {
    ReadOperators(*operators, parsed.errors, settings.operators);
  }
  reader.RejectUnknownKeys();
}

}  // namespace

ParsedSettings ParseSettings(const std::string& text) {
  ParsedSettings parsed;
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::stream_parser parser({}, options);
  json::error_code error;
  const std::size_t at = parser.write(text, error);
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    parsed.errors.push_back(
        {"byte " + std::to_string(at), Errc::kMalformed, "JSON with comments"});
    return parsed;
  }
  ReadRoot(parser.release(), parsed);
  return parsed;
}

ParsedSettings LoadSettings(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return {{}, {{path, Errc::kNotFound, "a readable file"}}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str());
}

}  // namespace sycamoreford
