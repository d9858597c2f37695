#include "run_result.h"

#include <algorithm>
#include <map>

namespace sycamoreford::model {
namespace {

/// Payoff earned and possible.
struct PayoffSum {
  double earned = 0;
  double possible = 0;

  [[nodiscard]] double ratio() const {
    return possible > 0 ? earned / possible : 1;
  }
};

/// Weight of an output token relative to a prompt token in a request's size.
constexpr double kOutputTokenWeight = 10;
/// Share of the payoff that does not depend on the size of the request.
constexpr double kFixedShare = 0.3;
/// Max factor on the payoff of a request that is larger than the mean.
constexpr double kMaxRelativeSize = 4;

double SizeOf(double prompt, double output) {
  return prompt + kOutputTokenWeight * output;
}

double MaxPayoff(const RequestKind& kind, const RequestRecord& record) {
  const double size = SizeOf(record.prompt_tokens, record.output_tokens) /
                      SizeOf(kind.prompt.mean, kind.output.mean);
  return kind.on_time_payoff *
         std::min(kMaxRelativeSize, kFixedShare + (1 - kFixedShare) * size);
}

bool IsOnTime(const RequestKind& kind, const RequestRecord& record) {
  return record.is_served && record.first_event <= kind.target_latency &&
         record.longest_pause <= kind.max_pause;
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

RunResult RunResult::FromRecords(const Scenario& scenario,
                                 const std::vector<RequestRecord>& records,
                                 std::chrono::milliseconds window) {
  RunResult result;
  PayoffSum total;
  std::map<std::size_t, PayoffSum> kinds;
  std::map<std::int64_t, PayoffSum> windows;
  std::vector<Duration> first_events;
  std::vector<Duration> pauses;
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  for (const RequestRecord& record : records) {
    const RequestKind& kind = scenario.requests[record.kind];
    const double possible = MaxPayoff(kind, record);
    const bool is_on_time = IsOnTime(kind, record);
    const double earned =
        is_on_time         ? possible
        : record.is_served ? possible * kind.late_payoff / kind.on_time_payoff
                           : 0;
    for (PayoffSum* sum :
         {&total, &kinds[record.kind], &windows[record.arrived / window]}) {
      sum->earned += earned;
      sum->possible += possible;
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
  result.payoff = total.ratio();
  std::vector<double> ratios;
  ratios.reserve(windows.size());
  for (const auto& [index, sum] : windows) {
    ratios.push_back(sum.ratio());
  }
  std::sort(ratios.begin(), ratios.end());
  ratios.resize(std::min<std::size_t>(ratios.size(), 2));
  for (const double ratio : ratios) {
    result.worst_windows += ratio / static_cast<double>(ratios.size());
  }
  result.worst_kind = 1;
  for (const auto& [kind, sum] : kinds) {
    result.worst_kind = std::min(result.worst_kind, sum.ratio());
  }
  result.first_event_median = Quantile(first_events, 0.5);
  result.first_event_p99 = Quantile(first_events, 0.99);
  result.pause_median = Quantile(pauses, 0.5);
  return result;
}

}  // namespace sycamoreford::model
