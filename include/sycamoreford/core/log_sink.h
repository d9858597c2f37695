#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Writes lines to a file descriptor without ever waiting for its reader.
///
/// Lines that the reader does not take are kept up to a bound and then dropped;
/// lines above a rate are dropped as well. What was dropped is counted and said
/// in a line of its own.
///
/// Thread safety: none; the logging library serializes calls.
class LogSink {
 public:
  /// \param descriptor stays open as long as this object.
  explicit LogSink(int descriptor) : descriptor_(descriptor) {}

  /// Writes a line, or keeps or drops it.
  ///
  /// \param line without its line feed.
  void Write(const std::string& line, TimePoint now);

  /// Lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  [[nodiscard]] bool TakeToken(TimePoint now);
  void Flush();

  int descriptor_;
  std::string pending_;
  double tokens_ = kMaxBurstLines;
  TimePoint refilled_at_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  TimePoint next_report_at_{};

  /// Lines a second over a longer time: the decisions on all requests that one
  /// small VM refuses under overload.
  static constexpr double kMaxLinesPerSecond = 300;
  /// Lines at once, as when an endpoint with many streams is lost.
  static constexpr double kMaxBurstLines = 1'500;
  /// Time from one line on dropped lines to the next.
  static constexpr std::chrono::milliseconds kDropReportInterval{1'000};
  /// Bytes kept for a reader that has stopped.
  static constexpr std::size_t kMaxPendingBytes = 256UL * 1024;
};

}  // namespace sycamoreford
