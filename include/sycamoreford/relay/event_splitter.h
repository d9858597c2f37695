#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamoreford {

/// Splits the bytes of an event stream (`text/event-stream`) into complete
/// events, so that a stream that is interrupted within an event can be resumed
/// at another endpoint.
///
/// Thread safety: none.
class EventSplitter {
 public:
  /// Appends received bytes.
  ///
  /// \returns the events completed by these bytes, as received; may be empty.
  ///     Valid until the next call.
  [[nodiscard]] std::string_view Feed(std::string_view bytes);

  /// Id of the last complete event that has one, as received; empty if there
  /// was none.
  [[nodiscard]] const std::string& last_id() const noexcept { return last_id_; }

  /// Number of complete events so far.
  [[nodiscard]] std::uint64_t event_count() const noexcept {
    return event_count_;
  }

  /// Received bytes of an event that is not complete yet.
  [[nodiscard]] std::string_view incomplete_event() const noexcept {
    return std::string_view(buffer_).substr(consumed_);
  }

  /// Discards the incomplete event, because another endpoint continues the
  /// stream. Events with ids up to `last_id` that it sends again are dropped.
  void Restart();

  /// Continues after events that another endpoint sent meanwhile: events with
  /// ids up to `delivered.last_id()` are dropped.
  void SkipTo(const EventSplitter& delivered);

 private:
  void ProcessEvent(std::string_view event);

  std::string buffer_;
  std::size_t consumed_ = 0;
  std::string complete_events_;
  std::string last_id_;
  std::uint64_t event_count_ = 0;
  /// Events up to this id were delivered before the last `Restart` or `SkipTo`.
  std::optional<std::uint64_t> last_delivered_id_;
};

}  // namespace sycamoreford
