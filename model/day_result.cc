#include "day_result.h"

#include <algorithm>
#include <map>

namespace sycamoreford::model {
namespace {

/// Payoff earned and owed.
struct Account {
  double earned = 0;
  double owed = 0;

  [[nodiscard]] double share() const { return owed > 0 ? earned / owed : 1; }
};

/// Tokens of an answer weigh ten times as much as those of a prompt.
constexpr double kAnswerWeight = 10;
constexpr double kFixedPart = 0.3;
constexpr double kMostSize = 4;

double SizeOf(double prompt, double answer) {
  return prompt + kAnswerWeight * answer;
}

double Owed(const RequestKind& kind, const RequestRecord& record) {
  const double size = SizeOf(record.prompt_tokens, record.answer_tokens) /
                      SizeOf(kind.prompt.mean, kind.answer.mean);
  return kind.worth * std::min(kMostSize, kFixedPart + (1 - kFixedPart) * size);
}

bool IsOnTime(const RequestKind& kind, const RequestRecord& record) {
  return record.is_served && record.first_event <= kind.target_latency &&
         record.longest_pause <= kind.longest_pause;
}

std::chrono::milliseconds Quantile(std::vector<Duration>& values, double q) {
  if (values.empty()) {
    return std::chrono::milliseconds(0);
  }
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  return std::chrono::duration_cast<std::chrono::milliseconds>(values[at]);
}

}  // namespace

DayResult DayResult::Of(const Scenario& scenario,
                        const std::vector<RequestRecord>& records,
                        std::chrono::milliseconds window) {
  DayResult result;
  Account day;
  std::map<std::size_t, Account> kinds;
  std::map<std::int64_t, Account> windows;
  std::vector<Duration> first_events;
  std::vector<Duration> pauses;
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  for (const RequestRecord& record : records) {
    const RequestKind& kind = scenario.requests[record.kind];
    const double owed = Owed(kind, record);
    const bool is_on_time = IsOnTime(kind, record);
    const double earned = is_on_time ? owed
                          : record.is_served
                              ? owed * kind.late_worth / kind.worth
                              : 0;
    for (Account* account :
         {&day, &kinds[record.kind], &windows[record.arrived / window]}) {
      account->earned += earned;
      account->owed += owed;
    }
    served += record.is_served ? 1 : 0;
    on_time += is_on_time ? 1 : 0;
    refused += record.was_refused && !record.is_served ? 1 : 0;
    broken += record.is_broken ? 1 : 0;
    if (record.is_served) {
      first_events.push_back(record.first_event);
      pauses.push_back(record.longest_pause);
    }
  }
  const double count = std::max<double>(1, static_cast<double>(records.size()));
  result.requests = static_cast<std::uint32_t>(records.size());
  result.served = served / count;
  result.on_time = on_time / count;
  result.refused = refused / count;
  result.broken = broken / count;
  result.payoff = day.share();
  std::vector<double> shares;
  shares.reserve(windows.size());
  for (const auto& [number, account] : windows) {
    shares.push_back(account.share());
  }
  std::sort(shares.begin(), shares.end());
  shares.resize(std::min<std::size_t>(shares.size(), 2));
  for (const double share : shares) {
    result.worst_windows += share / static_cast<double>(shares.size());
  }
  result.worst_kind = 1;
  for (const auto& [kind, account] : kinds) {
    result.worst_kind = std::min(result.worst_kind, account.share());
  }
  result.first_event_median = Quantile(first_events, 0.5);
  result.first_event_p99 = Quantile(first_events, 0.99);
  result.pause_median = Quantile(pauses, 0.5);
  return result;
}

}  // namespace sycamoreford::model
