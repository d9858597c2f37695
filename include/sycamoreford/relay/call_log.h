#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace sycamoreford {

/// Logs from time to time how many calls a daemon has made, by kind, so that an
/// operator sees which of them grow with the number of daemons.
///
/// Thread safety: none.
class CallLog {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  /// Logs the calls since the last time as one event; nothing if there were
  /// none.
  ///
  /// \param event name of the event.
  /// \param counts calls since the start, by kind.
  void Log(std::string_view event, const Counts& counts);

 private:
  std::map<std::string, Counts, std::less<>> logged_;
};

}  // namespace sycamoreford
