#include "sycamoreford/fleet/finding_news.h"

namespace sycamoreford {

bool FindingNews::OnFound(const EndpointFinding& finding,
                          bool is_disputed,
                          TimePoint now) {
  std::erase_if(last_,
                [&](const auto& it) { return now - it.second.at >= kMemory; });
  const bool is_known = last_.contains(finding.run.id);
  if (!is_known && last_.size() >= kMaxEndpoints) {
    return finding.is_lost || is_disputed;
  }
  Last& last = last_[finding.run.id];
  const bool has_changed = is_known && last.finding.run == finding.run &&
                           !last.finding.is_lost && !finding.is_lost &&
                           last.finding.layers != finding.layers;
  last.finding = finding;
  last.at = now;
  if (finding.is_lost) {
    const bool is_due =
        !last.told_lost_at || now - *last.told_lost_at >= kTellInterval;
    if (is_due) {
      last.told_lost_at = now;
    }
    return is_due;
  }
  const bool is_back = last.told_lost_at.has_value();
  last.told_lost_at.reset();
  return has_changed || is_back || is_disputed;
}

std::optional<EndpointFinding> FindingNews::Recent(const std::string& endpoint,
                                                   TimePoint now) const {
  const auto found = last_.find(endpoint);
  if (found == last_.end() || now - found->second.at >= kTtl) {
    return std::nullopt;
  }
  return found->second.finding;
}

}  // namespace sycamoreford
