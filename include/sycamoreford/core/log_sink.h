#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Writes lines to a file descriptor without blocking on a slow reader.
///
/// Lines that the reader does not accept yet are buffered up to a limit;
/// further lines are dropped. Lines above a rate limit (token bucket) are
/// dropped too. Dropped lines are counted, and a `log_lines_dropped` event
/// reports the count.
///
/// Thread safety: none; the logging library serializes calls.
class LogSink {
 public:
  /// \param descriptor must stay open for the lifetime of this object.
  explicit LogSink(int descriptor) : descriptor_(descriptor) {}

  /// Writes, buffers or drops a line.
  ///
  /// \param line without its line feed.
  void Write(const std::string& line, TimePoint now);

  /// Number of lines dropped so far.
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

  /// Sustained rate: enough to log each request that one small VM refuses under
  /// overload.
  static constexpr double kMaxLinesPerSecond = 300;
  /// Capacity of the token bucket: enough for the lines that are logged at once
  /// when an endpoint that serves many streams is lost.
  static constexpr double kMaxBurstLines = 1'500;
  /// Minimum interval between two `log_lines_dropped` events.
  static constexpr std::chrono::milliseconds kDropReportInterval{1'000};
  /// Maximum size of the buffer for lines that the reader has not accepted.
  static constexpr std::size_t kMaxPendingBytes = 256UL * 1024;
};

}  // namespace sycamoreford
