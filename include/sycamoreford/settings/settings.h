#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// An operator's credential.
struct OperatorCredential {
  std::string name;
  std::string token_salt;
  /// SHA-256 of the salt followed by the token, as lower-case hex.
  std::string token_sha256;
};

/// Settings of an entry daemon. docs/SETTINGS.md describes each of them.
struct Settings {
  std::string name;
  std::string data_centre;
  std::string region;

  struct Listen {
    std::string callers;
    std::string operators;
    std::string peers;
  } listen;

  struct Table {
    std::string address;
    std::chrono::milliseconds timeout{1'500};
    std::chrono::milliseconds poll_interval{3'000};
  } table;

  struct Limits {
    std::uint32_t workers = 2;
    std::uint32_t connections = 4096;
    std::uint32_t header_bytes = 16 * 1024;
    std::uint32_t body_bytes = 1024 * 1024;
    std::uint32_t attempts = 6;
    std::uint32_t default_max_tokens = 256;
    /// Memory for requests and responses that are held.
    std::uint32_t memory_budget_mb = 40;
    std::uint32_t metrics_series = 1024;
    std::chrono::milliseconds request_timeout{120'000};
    std::chrono::milliseconds idle_timeout{75'000};
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds body_timeout{30'000};
    std::chrono::milliseconds write_timeout{30'000};
    std::chrono::milliseconds connect_timeout{1'000};
    std::chrono::milliseconds first_token_timeout{5'000};
    std::chrono::milliseconds between_tokens_timeout{1'000};
    std::chrono::milliseconds drain_notice{2'000};
    std::chrono::milliseconds drain_timeout{130'000};
    std::chrono::milliseconds isolation_grace{10'000};
  } limits;

  std::vector<OperatorCredential> operators;

  /// Addresses of peers to contact at startup, in addition to those listed in
  /// the table. They let a daemon that starts during a table outage discover
  /// the other daemons.
  std::vector<std::string> seeds;
};

/// An invalid or missing field of a settings file.
struct SettingsError {
  /// Path of the field, for example `listen.callers`.
  std::string path;
  Errc code = Errc::kMalformed;
  /// Description of the expected value.
  std::string expected;
};

/// Parsed settings, and all errors found; valid only if there are none.
struct ParsedSettings {
  Settings settings;
  std::vector<SettingsError> errors;

  [[nodiscard]] bool is_valid() const noexcept { return errors.empty(); }
};

/// Parses and validates settings in JSON with comments and trailing commas.
/// Unknown keys are errors.
[[nodiscard]] ParsedSettings ParseSettings(const std::string& text);

/// Reads and parses a settings file. A file that cannot be read is reported as
/// an error.
[[nodiscard]] ParsedSettings LoadSettings(const std::string& path);

}  // namespace sycamoreford
