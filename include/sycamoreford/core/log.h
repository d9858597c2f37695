#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace sycamoreford {

/// Severity of a log event.
enum class Severity { kDebug, kInfo, kWarning, kError };

/// A log event. The destructor writes it as one line of `key=value` pairs.
///
/// \code
/// LogEvent(Severity::kInfo, "listening").With("address", address);
/// \endcode
///
/// Values with spaces, quotes, `=`, backslashes or control characters are
/// quoted. Never log prompts, credentials or answer tokens.
///
/// Thread safety: several threads may log at the same time; a single `LogEvent`
/// must be used by one thread only.
class LogEvent {
 public:
  LogEvent(Severity severity, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a string.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Adds a number.
  template <std::integral T>
  LogEvent& With(std::string_view key, T value) {
    return With(key, std::string_view(std::to_string(value)));
  }
  /// Adds a duration, truncated to milliseconds.
  LogEvent& With(std::string_view key, std::chrono::nanoseconds value);

 private:
  Severity severity_;
  std::string line_;
};

/// Initializes logging to standard output. Call once, before any thread starts.
///
/// \param min_severity events below this severity are discarded.
void InitLogging(Severity min_severity);

}  // namespace sycamoreford
