#include "sycamoreford/relay/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace sycamoreford {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kEventEnd = "\n\n";

/// Returns the value of the event's `id` field; empty when it has none.
std::string_view ParseId(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      if (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      return line;
    }
    at = end + 1;
  }
  return {};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || rest != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string_view EventSplitter::Feed(std::string_view bytes) {
  scanned_ -= consumed_;
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  buffer_.append(bytes);
  complete_events_.clear();
  for (;;) {
    const std::size_t end = buffer_.find(kEventEnd, scanned_);
    if (end == std::string::npos) {
      // The end may have arrived in part.
      scanned_ = std::max(
          consumed_,
          buffer_.size() - std::min(buffer_.size(), kEventEnd.size() - 1));
      return complete_events_;
    }
    const std::size_t next = end + kEventEnd.size();
    ProcessEvent(std::string_view(buffer_).substr(consumed_, next - consumed_));
    consumed_ = next;
    scanned_ = next;
  }
}

void EventSplitter::ProcessEvent(std::string_view event) {
  const std::string_view id = ParseId(event);
  if (!id.empty()) {
    const auto number = ParseNumber(id);
    if (last_delivered_id_ && number && *number <= *last_delivered_id_) {
      return;
    }
    last_id_ = id;
  }
  ++event_count_;
  complete_events_.append(event);
}

void EventSplitter::Restart() {
  buffer_.clear();
  consumed_ = 0;
  scanned_ = 0;
  last_delivered_id_ = ParseNumber(last_id_);
}

}  // namespace sycamoreford
