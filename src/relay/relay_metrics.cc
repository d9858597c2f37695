#include "sycamoreford/relay/relay_metrics.h"

#include "sycamoreford/metrics/prometheus_text.h"

namespace sycamoreford {

void RelayMetrics::OnEnded(const std::string& service,
                           const std::string& customer,
                           std::string_view outcome,
                           Duration time,
                           int sends) {
  ServiceSeries& series = services_[service];
  ++series.outcomes[std::string(outcome)];
  series.sends += static_cast<std::uint64_t>(sends);
  series.duration.Record(time);
  const bool has_own_series =
      customers_.contains(customer) || customers_.size() < kMaxCustomers;
  const std::string key = has_own_series ? customer : std::string(kOther);
  ++customers_[key][std::string(outcome)];
}

void RelayMetrics::OnRead(const std::string& service, Duration unread_time) {
  services_[service].unread.Record(unread_time);
}

void RelayMetrics::OnFirstEvent(const std::string& service, Duration time) {
  services_[service].first_event.Record(time);
}

void RelayMetrics::OnLongestPause(const std::string& service, Duration time) {
  services_[service].longest_pause.Record(time);
}

void RelayMetrics::OnResponseLost(const std::string& service, bool has_begun) {
  ServiceSeries& series = services_[service];
  ++(has_begun ? series.lost_after_begin : series.lost_before_begin);
}

void RelayMetrics::OnAdmission(const std::string& service,
                               std::uint32_t rank,
                               std::string_view outcome,
                               Duration waited) {
  RankSeries& series = services_[service].ranks[rank];
  ++series.outcomes[std::string(outcome)];
  series.waited.Record(waited);
}

std::string RelayMetrics::ToPrometheus() const {
  std::string text;
  const auto label = [](std::string_view name, std::string_view value) {
    return std::string(name) + "=\"" + EscapeLabel(value) + "\"";
  };
  AppendType(text, "sycamoreford_relay_requests_total", "counter");
  for (const auto& [service, series] : services_) {
    for (const auto& [outcome, count] : series.outcomes) {
      AppendSample(text, "sycamoreford_relay_requests_total",
                   label("service", service) + "," + label("outcome", outcome),
                   std::to_string(count));
    }
  }
  AppendType(text, "sycamoreford_relay_sends_total", "counter");
  for (const auto& [service, series] : services_) {
    AppendSample(text, "sycamoreford_relay_sends_total",
                 label("service", service), std::to_string(series.sends));
  }
  AppendType(text, "sycamoreford_relay_forwarded_total", "counter");
  for (const auto& [service, series] : services_) {
    AppendSample(text, "sycamoreford_relay_forwarded_total",
                 label("service", service) + "," + label("direction", "out"),
                 std::to_string(series.forwarded));
    AppendSample(text, "sycamoreford_relay_forwarded_total",
                 label("service", service) + "," + label("direction", "in"),
                 std::to_string(series.from_peers));
  }
  AppendType(text, "sycamoreford_relay_chain_loads_total", "counter");
  for (const auto& [service, series] : services_) {
    AppendSample(text, "sycamoreford_relay_chain_loads_total",
                 label("service", service) + "," + label("direction", "out"),
                 std::to_string(series.loads_told));
    AppendSample(text, "sycamoreford_relay_chain_loads_total",
                 label("service", service) + "," + label("direction", "in"),
                 std::to_string(series.loads_heard));
  }
  const auto rank_label = [&](const std::string& service, std::uint32_t rank) {
    return label("service", service) + "," +
           label("rank", std::to_string(rank));
  };
  AppendType(text, "sycamoreford_relay_admissions_total", "counter");
  for (const auto& [service, series] : services_) {
    for (const auto& [rank, of_rank] : series.ranks) {
      for (const auto& [outcome, count] : of_rank.outcomes) {
        AppendSample(
            text, "sycamoreford_relay_admissions_total",
            rank_label(service, rank) + "," + label("outcome", outcome),
            std::to_string(count));
      }
    }
  }
  AppendType(text, "sycamoreford_relay_room_wait_seconds", "histogram");
  for (const auto& [service, series] : services_) {
    for (const auto& [rank, of_rank] : series.ranks) {
      AppendHistogram(text, "sycamoreford_relay_room_wait_seconds",
                      rank_label(service, rank), of_rank.waited);
    }
  }
  AppendType(text, "sycamoreford_relay_responses_lost_total", "counter");
  for (const auto& [service, series] : services_) {
    AppendSample(text, "sycamoreford_relay_responses_lost_total",
                 label("service", service) + "," + label("begun", "no"),
                 std::to_string(series.lost_before_begin));
    AppendSample(text, "sycamoreford_relay_responses_lost_total",
                 label("service", service) + "," + label("begun", "yes"),
                 std::to_string(series.lost_after_begin));
  }
  AppendType(text, "sycamoreford_relay_leaving_endpoints_total", "counter");
  for (const auto& [source, count] : leaving_) {
    AppendSample(text, "sycamoreford_relay_leaving_endpoints_total",
                 label("source", source), std::to_string(count));
  }
  AppendType(text, "sycamoreford_relay_inspections_total", "counter");
  for (const auto& [cause, count] : inspections_) {
    AppendSample(text, "sycamoreford_relay_inspections_total",
                 label("cause", cause), std::to_string(count));
  }
  AppendType(text, "sycamoreford_relay_endpoint_backoffs_total", "counter");
  for (const auto& [source, count] : backoffs_) {
    AppendSample(text, "sycamoreford_relay_endpoint_backoffs_total",
                 label("source", source), std::to_string(count));
  }
  AppendType(text, "sycamoreford_relay_withheld_total", "counter");
  for (const auto& [kind, count] : withheld_) {
    AppendSample(text, "sycamoreford_relay_withheld_total", label("kind", kind),
                 std::to_string(count));
  }
  const auto times = [&](const std::string& name,
                         TimeHistogram ServiceSeries::*member) {
    AppendType(text, name, "histogram");
    for (const auto& [service, series] : services_) {
      AppendHistogram(text, name, label("service", service), series.*member);
    }
  };
  times("sycamoreford_relay_request_seconds", &ServiceSeries::duration);
  times("sycamoreford_relay_unread_seconds", &ServiceSeries::unread);
  times("sycamoreford_relay_first_event_seconds", &ServiceSeries::first_event);
  times("sycamoreford_relay_longest_pause_seconds",
        &ServiceSeries::longest_pause);
  const auto task_times = [&](const std::string& name,
                              const TimeHistogram& histogram,
                              std::string_view task) {
    AppendType(text, name, "histogram");
    AppendHistogram(text, name, label("task", task), histogram);
  };
  task_times("sycamoreford_relay_lateness_seconds", tick_lateness_, "tick");
  task_times("sycamoreford_relay_work_seconds", decoding_,
             "decode_configuration");
  AppendType(text, "sycamoreford_relay_customer_requests_total", "counter");
  for (const auto& [customer, outcomes] : customers_) {
    for (const auto& [outcome, count] : outcomes) {
      AppendSample(
          text, "sycamoreford_relay_customer_requests_total",
          label("customer", customer) + "," + label("outcome", outcome),
          std::to_string(count));
    }
  }
  return text;
}

}  // namespace sycamoreford
