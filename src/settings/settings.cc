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

/// Reads the members of one JSON object and notes every fault.
class ObjectReader {
 public:
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<SettingsFault>& faults)
      : path_(std::move(path)), faults_(faults) {
    if (value.is_object()) {
      object_ = &value.as_object();
    } else {
      Fault("", "an object");
    }
  }

  void String(std::string_view key, std::string& out, bool required = true) {
    const json::value* value = Find(key, required);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || value->as_string().empty()) {
      Fault(key, "a text that is not empty");
      return;
    }
    out = json::value_to<std::string>(*value);
  }

  void Address(std::string_view key, std::string& out) {
    String(key, out);
    if (out.empty()) {
      return;
    }
    try {
      (void)impl::ParseAddress(out);
    } catch (const std::system_error&) {
      Fault(key, "an IP address and port");
    }
  }

  void Number(std::string_view key,
              std::uint32_t& out,
              std::uint32_t least,
              std::uint32_t most) {
    const json::value* value = Find(key, false);
    if (value == nullptr) {
      return;
    }
    boost::system::error_code error;
    const auto number = value->is_number()
                            ? value->to_number<std::uint32_t>(error)
                            : std::uint32_t{0};
    if (!value->is_number() || error || number < least || number > most) {
      Fault(key, "a whole number from " + std::to_string(least) + " to " +
                     std::to_string(most));
      return;
    }
    out = number;
  }

  void Time(std::string_view key,
            std::chrono::milliseconds& out,
            std::chrono::milliseconds most) {
    auto count = static_cast<std::uint32_t>(out.count());
    Number(key, count, 1, static_cast<std::uint32_t>(most.count()));
    out = std::chrono::milliseconds(count);
  }

  /// The member of that key; null when it is absent.
  const json::value* Find(std::string_view key, bool required) {
    known_.push_back(key);
    const json::value* value =
        object_ == nullptr ? nullptr : object_->if_contains(key);
    if (value == nullptr && required && object_ != nullptr) {
      Fault(key, "a value; it is required");
    }
    return value;
  }

  /// Notes a fault of the member of that key.
  void Fault(std::string_view key, std::string expected) {
    faults_.push_back({PathOf(key), Errc::kMalformed, std::move(expected)});
  }

  [[nodiscard]] std::string PathOf(std::string_view key) const {
    return path_.empty() || key.empty() ? path_ + std::string(key)
                                        : path_ + "." + std::string(key);
  }

  /// Notes members that no call has asked for.
  void RefuseUnknown() {
    if (object_ == nullptr) {
      return;
    }
    for (const auto& member : *object_) {
      bool is_known = false;
      for (const std::string_view key : known_) {
        is_known = is_known || key == std::string_view(member.key());
      }
      if (!is_known) {
        Fault(member.key(), "no such key; it is unknown");
      }
    }
  }

 private:
  const json::object* object_ = nullptr;
  std::string path_;
  std::vector<SettingsFault>& faults_;
  std::vector<std::string_view> known_;
};

constexpr std::chrono::milliseconds kMostTime = std::chrono::hours(1);
constexpr std::uint32_t kMostBytes = 64U * 1024 * 1024;

void ReadListen(ObjectReader reader, Settings::Listen& listen) {
  reader.Address("callers", listen.callers);
  reader.Address("operators", listen.operators);
  reader.Address("peers", listen.peers);
  reader.RefuseUnknown();
}

void ReadTable(ObjectReader reader, Settings::Table& table) {
  reader.Address("address", table.address);
  reader.Time("timeout_ms", table.timeout, kMostTime);
  reader.Time("poll_interval_ms", table.poll_interval, kMostTime);
  reader.RefuseUnknown();
}

void ReadLimits(ObjectReader reader, Settings::Limits& limits) {
  reader.Number("workers", limits.workers, 1, 64);
  reader.Number("connections", limits.connections, 1, 1'000'000);
  reader.Number("header_bytes", limits.header_bytes, 256, kMostBytes);
  reader.Number("body_bytes", limits.body_bytes, 256, kMostBytes);
  reader.Number("attempts", limits.attempts, 1, 100);
  reader.Number("default_max_tokens", limits.default_max_tokens, 1, 1'000'000);
  reader.Number("metrics_series", limits.metrics_series, 1, 100'000);
  reader.Time("request_timeout_ms", limits.request_timeout, kMostTime);
  reader.Time("idle_timeout_ms", limits.idle_timeout, kMostTime);
  reader.Time("header_timeout_ms", limits.header_timeout, kMostTime);
  reader.Time("body_timeout_ms", limits.body_timeout, kMostTime);
  reader.Time("write_timeout_ms", limits.write_timeout, kMostTime);
  reader.Time("connect_timeout_ms", limits.connect_timeout, kMostTime);
  reader.Time("first_token_timeout_ms", limits.first_token_timeout, kMostTime);
  reader.Time("between_tokens_timeout_ms", limits.between_tokens_timeout,
              kMostTime);
  reader.Time("drain_notice_ms", limits.drain_notice, kMostTime);
  reader.Time("drain_timeout_ms", limits.drain_timeout, kMostTime);
  reader.Time("isolation_grace_ms", limits.isolation_grace, kMostTime);
  if (limits.drain_timeout < limits.request_timeout) {
    // A planned stop would cut off requests that keep within their time.
    reader.Fault("drain_timeout_ms",
                 "at least request_timeout_ms, " +
                     std::to_string(limits.request_timeout.count()));
  }
  reader.RefuseUnknown();
}

void ReadOperators(const json::value& value,
                   std::vector<SettingsFault>& faults,
                   std::vector<OperatorCredential>& operators) {
  if (!value.is_array()) {
    faults.push_back({"operators", Errc::kMalformed, "a list"});
    return;
  }
  for (std::size_t i = 0; i < value.as_array().size(); ++i) {
    OperatorCredential credential;
    ObjectReader reader(value.as_array()[i],
                        "operators[" + std::to_string(i) + "]", faults);
    reader.String("name", credential.name);
    reader.String("token_salt", credential.token_salt);
    reader.String("token_sha256", credential.token_sha256);
    reader.RefuseUnknown();
    operators.push_back(std::move(credential));
  }
}

void ReadSeeds(const json::value& value,
               std::vector<SettingsFault>& faults,
               std::vector<std::string>& seeds) {
  if (!value.is_array()) {
    faults.push_back({"seeds", Errc::kMalformed, "a list"});
    return;
  }
  for (std::size_t i = 0; i < value.as_array().size(); ++i) {
    const json::value& item = value.as_array()[i];
    try {
      seeds.push_back(json::value_to<std::string>(item));
      (void)impl::ParseAddress(seeds.back());
    } catch (const std::exception&) {
      faults.push_back({"seeds[" + std::to_string(i) + "]", Errc::kMalformed,
                        "an IP address and port"});
    }
  }
}

void ReadRoot(const json::value& root, ParsedSettings& parsed) {
  ObjectReader reader(root, "", parsed.faults);
  Settings& settings = parsed.settings;
  reader.String("name", settings.name);
  reader.String("data_center", settings.data_center);
  reader.String("region", settings.region);
  if (const json::value* seeds = reader.Find("seeds", false)) {
    ReadSeeds(*seeds, parsed.faults, settings.seeds);
  }
  if (const json::value* listen = reader.Find("listen", true)) {
    ReadListen({*listen, "listen", parsed.faults}, settings.listen);
  }
  if (const json::value* table = reader.Find("table", true)) {
    ReadTable({*table, "table", parsed.faults}, settings.table);
  }
  if (const json::value* limits = reader.Find("limits", false)) {
    ReadLimits({*limits, "limits", parsed.faults}, settings.limits);
  }
  if (const json::value* operators = reader.Find("operators", true)) {
    ReadOperators(*operators, parsed.faults, settings.operators);
  }
  reader.RefuseUnknown();
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
    parsed.faults.push_back(
        {"byte " + std::to_string(at), Errc::kMalformed, "JSON with comments"});
    return parsed;
  }
  ReadRoot(parser.release(), parsed);
  return parsed;
}

ParsedSettings LoadSettings(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return {{}, {{path, Errc::kNotFound, "a file that can be read"}}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str());
}

}  // namespace sycamoreford
