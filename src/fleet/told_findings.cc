#include "sycamoreford/fleet/told_findings.h"

#include <algorithm>

namespace sycamoreford {

ToldFindings::Result ToldFindings::OnTold(const EndpointFinding& finding,
                                          const std::string& from,
                                          TimePoint now) {
  Expire(now);
  if (!finding.is_lost) {
    words_.erase(finding.run.id);
    return Result::kAlive;
  }
  if (words_.size() >= kMaxEndpoints && !words_.contains(finding.run.id)) {
    return Result::kLostUnconfirmed;
  }
  Words& words = words_[finding.run.id];
  if (words.started_at_ms != finding.run.started_at_ms) {
    words = {.started_at_ms = finding.run.started_at_ms};
  }
  if (words.lost_at.size() < kMaxDaemons || words.lost_at.contains(from)) {
    words.lost_at[from] = now;
  }
  if (words.lost_at.size() > 1) {
    words.confirm_by.reset();
    return Result::kLost;
  }
  words.confirm_by = words.confirm_by.value_or(now + kConfirmationTime);
  return Result::kLostUnconfirmed;
}

bool ToldFindings::IsToldLost(const std::string& endpoint,
                              TimePoint now) const {
  const auto found = words_.find(endpoint);
  return found != words_.end() &&
         std::any_of(
             found->second.lost_at.begin(), found->second.lost_at.end(),
             [&](const auto& word) { return now - word.second < kTtl; });
}

std::optional<std::string> ToldFindings::TakeUnconfirmed(TimePoint now) {
  for (auto& [id, words] : words_) {
    if (words.confirm_by && now >= *words.confirm_by) {
      words.confirm_by.reset();
      return id;
    }
  }
  return std::nullopt;
}

void ToldFindings::Expire(TimePoint now) {
  for (auto& [id, words] : words_) {
    std::erase_if(words.lost_at,
                  [&](const auto& word) { return now - word.second >= kTtl; });
  }
  std::erase_if(words_,
                [](const auto& it) { return it.second.lost_at.empty(); });
}

}  // namespace sycamoreford
