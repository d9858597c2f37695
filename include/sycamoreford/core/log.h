#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace sycamoreford {

/// Severity of a log event.
enum class Severity { kDebug, kInfo, kWarning, kError };

/// One log event, written as one line of key=value pairs when it goes out of
/// scope.
///
/// \code
/// LogEvent(Severity::kInfo, "listening").With("address", address);
/// \endcode
///
/// Values that hold spaces, quotes or control characters are quoted.
/// Never give it prompts, keys or tokens of an answer. Thread safe between
/// events; one event belongs to one thread.
class LogEvent {
 public:
  LogEvent(Severity severity, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a text field.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Adds a number.
  template <std::integral T>
  LogEvent& With(std::string_view key, T value) {
    return With(key, std::string_view(std::to_string(value)));
  }
  /// Adds a length of time, in milliseconds.
  /// Adds a time in whole milliseconds.
  LogEvent& With(std::string_view key, std::chrono::nanoseconds value);

 private:
  Severity severity_;
  std::string line_;
};

/// Sets up logging to standard output. Call once, before any thread starts.
///
/// \param min_severity events below this severity are dropped.
void InitLogging(Severity min_severity);

}  // namespace sycamoreford
