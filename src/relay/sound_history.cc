#include "sycamoreford/relay/sound_history.h"

#include <algorithm>
#include <utility>

namespace sycamoreford {

void SoundHistory::Add(const RequestTrait& trait, TimePoint at) {
  const TimePoint last = Find(trait).value_or(at);
  newer_[trait] = std::max(last, at);
  if (newer_.size() >= capacity_ / 2) {
    older_ = std::exchange(newer_, {});
  }
}

std::optional<TimePoint> SoundHistory::Find(const RequestTrait& trait) const {
  for (const Times* times : {&newer_, &older_}) {
    const auto found = times->find(trait);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace sycamoreford
