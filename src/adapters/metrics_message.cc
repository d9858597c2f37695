#include "sycamoreford/adapters/metrics_message.h"

#include <algorithm>

namespace sycamoreford {

namespace {

void Write(const TimeHistogram& histogram, v1::TimeHistogramCounts* message) {
  for (const std::uint64_t count : histogram.counts()) {
    message->add_counts(count);
  }
  message->set_sum_seconds(histogram.sum_seconds());
}

/// Copies a repeated field into an array; false if the sizes differ.
template <class Numbers, class Array>
bool Copy(const Numbers& numbers, Array& out) {
  if (static_cast<std::size_t>(numbers.size()) != out.size()) {
    return false;
  }
  std::copy(numbers.begin(), numbers.end(), out.begin());
  return true;
}

bool Read(const v1::TimeHistogramCounts& message, TimeHistogram& histogram) {
  TimeHistogram::Counts counts{};
  if (!Copy(message.counts(), counts)) {
    return false;
  }
  histogram = TimeHistogram::FromCounts(counts, message.sum_seconds());
  return true;
}

Errc ErrcOf(const std::string& type) {
  for (int value = 1; value <= static_cast<int>(Errc::kInternal); ++value) {
    const auto code = static_cast<Errc>(value);
    if (ToString(code) == type) {
      return code;
    }
  }
  return Errc::kInternal;
}

bool HasKnownBinEdges(const v1::MetricsReply& message) {
  if (message.upper_edges_seconds_size() !=
      static_cast<int>(TimeHistogram::kBins) - 1) {
    return false;
  }
  std::size_t bin = 0;
  return std::all_of(message.upper_edges_seconds().begin(),
                     message.upper_edges_seconds().end(), [&](double edge) {
                       return edge == TimeHistogram::UpperEdge(bin++);
                     });
}

}  // namespace

v1::MetricsReply ToMessage(const MetricsSnapshot& snapshot) {
  v1::MetricsReply message;
  for (std::size_t bin = 0; bin + 1 < TimeHistogram::kBins; ++bin) {
    message.add_upper_edges_seconds(TimeHistogram::UpperEdge(bin));
  }
  for (const auto& [key, series] : snapshot.series) {
    v1::SeriesMetrics* out = message.add_series();
    out->set_customer(key.customer);
    out->set_priority(key.priority);
    Write(series.queueing, out->mutable_queueing());
    Write(series.first_token, out->mutable_first_token());
    Write(series.between_tokens, out->mutable_between_tokens());
    Write(series.duration, out->mutable_whole());
    out->mutable_attempts()->Add(series.attempts.begin(),
                                 series.attempts.end());
    out->mutable_outcomes()->Add(series.outcomes.begin(),
                                 series.outcomes.end());
  }
  for (const auto& [code, count] : snapshot.errors) {
    v1::ErrorCount* out = message.add_errors();
    out->set_type(std::string(ToString(code)));
    out->set_count(count);
  }
  return message;
}

Result<MetricsSnapshot> FromMessage(const v1::MetricsReply& message) {
  const Failure malformed{.code = Errc::kMalformed, .where = "metrics"};
  if (!HasKnownBinEdges(message)) {
    return malformed;
  }
  MetricsSnapshot snapshot;
  for (const v1::SeriesMetrics& in : message.series()) {
    RequestSeries series;
    const bool is_valid = Read(in.queueing(), series.queueing) &&
                          Read(in.first_token(), series.first_token) &&
                          Read(in.between_tokens(), series.between_tokens) &&
                          Read(in.whole(), series.duration) &&
                          Copy(in.attempts(), series.attempts) &&
                          Copy(in.outcomes(), series.outcomes);
    if (!is_valid) {
      return malformed;
    }
    snapshot.series[{in.customer(), in.priority()}].Add(series);
  }
  for (const v1::ErrorCount& error : message.errors()) {
    snapshot.errors[ErrcOf(error.type())] += error.count();
  }
  return snapshot;
}

}  // namespace sycamoreford
