#pragma once

#include <cstddef>
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
  /// Maximum size of an event; longer ones are not delivered.
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

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

  /// Whether the incomplete event exceeds `kMaxEventBytes`. The stream must not
  /// be read on.
  [[nodiscard]] bool is_too_long() const noexcept {
    return buffer_.size() - consumed_ > kMaxEventBytes;
  }

  /// Memory that it uses, in bytes.
  [[nodiscard]] std::size_t capacity() const noexcept {
    return buffer_.capacity() + complete_events_.capacity();
  }

  /// Discards the incomplete event, because another endpoint continues the
  /// stream. Events with ids up to `last_id` that it sends again are dropped.
  void Restart();

 private:
  void ProcessEvent(std::string_view event);

  std::string buffer_;
  std::size_t consumed_ = 0;
  /// Size of the part of `buffer_` without an end of an event after
  /// `consumed_`.
  std::size_t scanned_ = 0;
  std::string complete_events_;
  std::string last_id_;
  std::uint64_t event_count_ = 0;
  /// Events up to this id were delivered before the last `Restart`.
  std::optional<std::uint64_t> last_delivered_id_;
};

}  // namespace sycamoreford
