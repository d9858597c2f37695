#pragma once

#include <algorithm>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/relay/event_splitter.h"

namespace sycamoreford {

/// Progress of the response to a request that is served by chains.
struct StreamProgress {
  /// Position after the last event that was delivered.
  EventSplitter position;
  bool has_begun = false;
  TimePoint first_event{};
  TimePoint last_event{};
  Duration longest_pause{0};

  void OnDelivered(TimePoint now) {
    if (first_event == TimePoint{}) {
      first_event = now;
    } else {
      longest_pause = std::max(longest_pause, now - last_event);
    }
    last_event = now;
  }
};

}  // namespace sycamoreford
