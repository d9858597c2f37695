#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/relay/request_trait.h"

namespace sycamoreford {

/// Remembers when traits were last sound, for the traits that were so most
/// recently: at least half of the capacity.
///
/// Thread safety: none.
class SoundHistory {
 public:
  /// \param capacity maximum number of traits.
  explicit SoundHistory(std::size_t capacity) : capacity_(capacity) {}

  void Add(const RequestTrait& trait, TimePoint at);

  /// \returns nothing if the trait was not sound lately.
  [[nodiscard]] std::optional<TimePoint> Find(const RequestTrait& trait) const;

 private:
  using Times = std::unordered_map<RequestTrait, TimePoint>;

  std::size_t capacity_;
  Times newer_;
  /// Replaced by `newer_` when that has reached half of the capacity.
  Times older_;
};

}  // namespace sycamoreford
