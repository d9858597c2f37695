#include "sycamoreford/core/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace sycamoreford {

bool LogSink::TakeToken(TimePoint now) {
  if (refilled_at_ != TimePoint{}) {
    const std::chrono::duration<double> since = now - refilled_at_;
    tokens_ =
        std::min(kMaxBurstLines, tokens_ + kMaxLinesPerSecond * since.count());
  }
  refilled_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogSink::Write(const std::string& line, TimePoint now) {
  if (!TakeToken(now) || pending_.size() + line.size() > kMaxPendingBytes) {
    ++dropped_;
    Flush();
    return;
  }
  if (dropped_ != reported_dropped_ && now >= next_report_at_) {
    next_report_at_ = now + kDropReportInterval;
    pending_ += "level=warning event=log_lines_dropped lines=" +
                std::to_string(dropped_ - reported_dropped_) + "\n";
    reported_dropped_ = dropped_;
  }
  pending_ += line;
  pending_ += '\n';
  Flush();
}

void LogSink::Flush() {
  std::size_t written = 0;
  while (written < pending_.size()) {
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    pollfd request = {.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if (poll(&request, 1, 0) <= 0 || (request.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size =
        std::min<std::size_t>(pending_.size() - written, PIPE_BUF);
    const ssize_t accepted =
        write(descriptor_, pending_.data() + written, size);
    if (accepted <= 0) {
      break;
    }
    written += static_cast<std::size_t>(accepted);
  }
  pending_.erase(0, written);
}

}  // namespace sycamoreford
