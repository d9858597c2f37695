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
  [[nodiscard]] std::uint64_t events() const noexcept { return events_; }

  /// Bytes of an event that has not ended.
  [[nodiscard]] std::string_view rest() const noexcept {
    return std::string_view(buffer_).substr(taken_);
  }

  /// Forgets the event that has not ended, since another run goes on. Events
  /// of that run up to `last_id` are dropped.
  void Restart();

 private:
  void ReadEvent(std::string_view event);

  std::string buffer_;
  std::size_t taken_ = 0;
  std::string out_;
  std::string last_id_;
  std::uint64_t events_ = 0;
  /// Ids up to this one were delivered by an earlier run.
  std::optional<std::uint64_t> delivered_;
};

}  // namespace sycamoreford
