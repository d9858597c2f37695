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
  /// Lower-case hex of SHA-256 of salt followed by token.
  std::string token_sha256;
};

/// Settings of a daemon; docs/SETTINGS.md explains each.
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

  /// Peers' addresses to greet at start, beside those listed in the table; a
  /// daemon that boots while the table is down learns the others from them.
  std::vector<std::string> seeds;
};

/// A fault in a settings file: where and what.
struct SettingsError {
  /// Path in the file, for example `listen.callers`.
  std::string path;
  Errc code = Errc::kMalformed;
  /// What was expected there.
  std::string expected;
};

/// Settings, or every fault found.
struct ParsedSettings {
  Settings settings;
  std::vector<SettingsError> errors;

  [[nodiscard]] bool is_valid() const noexcept { return errors.empty(); }
};

/// Parses and checks settings: JSON with comments. Unknown keys are errors.
[[nodiscard]] ParsedSettings ParseSettings(const std::string& text);

/// Reads and parses a settings file; a file that can not be read is a fault.
[[nodiscard]] ParsedSettings LoadSettings(const std::string& path);

}  // namespace sycamoreford
