#include "sycamoreford/relay/trial_delay.h"

#include <algorithm>

#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {

std::optional<Duration> TrialDelay(bool is_whole_request,
                                   std::uint32_t trials) {
  constexpr std::uint32_t kMaxDoublings = 12;
  if (trials == 0) {
    return RequestQuarantine::kFirstTrialDelay;
  }
  if (!is_whole_request) {
    return RequestQuarantine::kSecondTrialDelay *
           (1U << std::min(2 * (trials - 1), kMaxDoublings));
  }
  if (trials < RequestQuarantine::kMaxWholeRequestTrials) {
    return RequestQuarantine::kSecondWholeRequestTrialDelay;
  }
  return std::nullopt;
}

}  // namespace sycamoreford
