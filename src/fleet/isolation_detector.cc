#include "sycamoreford/fleet/isolation_detector.h"

#include <algorithm>

namespace sycamoreford {

void IsolationDetector::OnConnected(TimePoint begun_at) {
  std::erase_if(unreachable_,
                [&](const auto& it) { return it.second <= begun_at; });
  if (unreachable_.empty()) {
    failures_ = 0;
    is_isolated_ = false;
  }
}

void IsolationDetector::OnUnreachable(const std::string& endpoint,
                                      std::size_t known_endpoints,
                                      TimePoint now) {
  const std::size_t needed = std::clamp(known_endpoints / kKnownPerEndpoint,
                                        kMinEndpoints, kMaxEndpoints);
  // A few are enough, so that the map stays small.
  if (unreachable_.size() < needed || unreachable_.contains(endpoint)) {
    unreachable_[endpoint] = now;
  }
  ++failures_;
  is_isolated_ = unreachable_.size() >= needed ||
                 (known_endpoints <= 1 && failures_ >= kMinFailures);
}

}  // namespace sycamoreford
