#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamoreford {

/// Cuts the bytes of an event stream (`text/event-stream`) after whole events,
/// so that a stream that breaks off within an event can go on elsewhere.
///
/// Thread safety: none.
class EventSplitter {
 public:
  /// Takes received bytes.
  ///
  /// \returns the bytes that are whole events now; may be empty. Valid until
  ///     the next call.
  [[nodiscard]] std::string_view Feed(std::string_view bytes);

  /// Id of the last whole event, as it stood in the stream; empty when there
  /// was none with an id.
  [[nodiscard]] const std::string& last_id() const noexcept { return last_id_; }

  /// Whole events so far.
  [[nodiscard]] std::uint64_t event_count() const noexcept {
    return event_count_;
  }

  /// Bytes of an event that has not ended.
  [[nodiscard]] std::string_view incomplete_event() const noexcept {
    return std::string_view(buffer_).substr(consumed_);
  }

  /// Forgets the event that has not ended, since another run goes on. Events
  /// of that run up to `last_id` are dropped.
  void Restart();

 private:
  void ProcessEvent(std::string_view event);

  std::string buffer_;
  std::size_t consumed_ = 0;
  std::string complete_events_;
  std::string last_id_;
  std::uint64_t event_count_ = 0;
  /// Ids up to this one were delivered by an earlier run.
  std::optional<std::uint64_t> last_delivered_id_;
};

}  // namespace sycamoreford
