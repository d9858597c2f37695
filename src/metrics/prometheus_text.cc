#include "sycamoreford/metrics/prometheus_text.h"

#include <cstdio>

namespace sycamoreford {

namespace {

/// Histogram bins per exported bucket: two buckets per power of ten.
constexpr std::size_t kBinsPerBucket = 2;

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

}  // namespace

void AppendType(std::string& text,
                std::string_view name,
                std::string_view type) {
  text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& text,
                  const std::string& name,
                  const std::string& labels,
                  const std::string& value) {
  text += name + "{" + labels + "} " + value + "\n";
}

void AppendHistogram(std::string& text,
                     const std::string& name,
                     const std::string& labels,
                     const TimeHistogram& histogram) {
  const TimeHistogram::Counts counts = histogram.counts();
  std::uint64_t cumulative_count = 0;
  for (std::size_t bin = 0; bin + 1 < TimeHistogram::kBins; ++bin) {
    cumulative_count += counts[bin];
    if (bin % kBinsPerBucket == 0) {
      AppendSample(
          text, name + "_bucket",
          labels + ",le=\"" + Number(TimeHistogram::UpperEdge(bin)) + "\"",
          std::to_string(cumulative_count));
    }
  }
  const std::string total = std::to_string(histogram.count());
  AppendSample(text, name + "_bucket", labels + ",le=\"+Inf\"", total);
  AppendSample(text, name + "_sum", labels, Number(histogram.sum_seconds()));
  AppendSample(text, name + "_count", labels, total);
}

namespace {

std::string Labels(const MetricsKey& key) {
  return "customer=\"" + EscapeLabel(key.customer) + "\",priority=\"" +
         EscapeLabel(key.priority) + "\"";
}

void AppendTimes(std::string& text,
                 const MetricsSnapshot& snapshot,
                 const std::string& name,
                 TimeHistogram RequestSeries::*member) {
  AppendType(text, name, "histogram");
  for (const auto& [key, series] : snapshot.series) {
    AppendHistogram(text, name, Labels(key), series.*member);
  }
}

void AppendAttempts(std::string& text, const MetricsSnapshot& snapshot) {
  const std::string name = "sycamoreford_request_attempts";
  AppendType(text, name, "histogram");
  for (const auto& [key, series] : snapshot.series) {
    const std::string labels = Labels(key);
    std::uint64_t cumulative_count = 0;
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < series.attempts.size(); ++i) {
      cumulative_count += series.attempts[i];
      sum += i * series.attempts[i];
      const bool is_last = i + 1 == series.attempts.size();
      AppendSample(
          text, name + "_bucket",
          labels + ",le=\"" + (is_last ? "+Inf" : std::to_string(i)) + "\"",
          std::to_string(cumulative_count));
    }
    AppendSample(text, name + "_sum", labels, std::to_string(sum));
    AppendSample(text, name + "_count", labels,
                 std::to_string(cumulative_count));
  }
}

void AppendOutcomes(std::string& text, const MetricsSnapshot& snapshot) {
  const std::string name = "sycamoreford_request_outcomes_total";
  AppendType(text, name, "counter");
  for (const auto& [key, series] : snapshot.series) {
    for (const RequestOutcome outcome : kRequestOutcomes) {
      AppendSample(
          text, name,
          Labels(key) + ",outcome=\"" + std::string(ToString(outcome)) + "\"",
          std::to_string(series.outcomes[static_cast<std::size_t>(outcome)]));
    }
  }
  const std::string errors = "sycamoreford_errors_total";
  AppendType(text, errors, "counter");
  for (const auto& [code, count] : snapshot.errors) {
    AppendSample(text, errors, "type=\"" + std::string(ToString(code)) + "\"",
                 std::to_string(count));
  }
}

}  // namespace

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    switch (c) {
      case '\\':
        escaped += "\\\\";
        break;
      case '"':
        escaped += "\\\"";
        break;
      case '\n':
        escaped += "\\n";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string FormatMetric(std::string_view name,
                         std::string_view type,
                         std::uint64_t value) {
  std::string text;
  AppendType(text, name, type);
  text.append(name).append(" ").append(std::to_string(value)).append("\n");
  return text;
}

std::string ToPrometheus(const MetricsSnapshot& snapshot) {
  std::string text;
  AppendTimes(text, snapshot, "sycamoreford_request_queueing_seconds",
              &RequestSeries::queueing);
  AppendTimes(text, snapshot, "sycamoreford_first_token_seconds",
              &RequestSeries::first_token);
  AppendTimes(text, snapshot, "sycamoreford_between_tokens_seconds",
              &RequestSeries::between_tokens);
  AppendTimes(text, snapshot, "sycamoreford_request_seconds",
              &RequestSeries::duration);
  AppendAttempts(text, snapshot);
  AppendOutcomes(text, snapshot);
  return text;
}

}  // namespace sycamoreford
