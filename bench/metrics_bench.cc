// Cost of metrics: time per record and per token, memory per customer, and size
// and rendering time of the Prometheus text, for several numbers of customers.
#include <malloc.h>

#include <chrono>
#include <iostream>

#include "sycamoreford/metrics/prometheus_text.h"
#include "sycamoreford/metrics/request_metrics.h"
#include "sycamoreford/metrics/request_timer.h"

namespace sycamoreford {
namespace {

constexpr int kRecords = 200'000;
constexpr int kTokens = 256;

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

template <class Work>
double MeanNanoseconds(int count, Work&& work) {
  const TimePoint start = SteadyClock().Now();
  for (int i = 0; i < count; ++i) {
    work(i);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      SteadyClock().Now() - start;
  return elapsed.count() / count;
}

void Measure(std::size_t customers) {
  const std::size_t before = HeapBytes();
  RequestMetrics metrics(customers);
  RequestSample sample;
  sample.queueing = std::chrono::milliseconds(1);
  sample.first_token = std::chrono::milliseconds(80);
  sample.duration = std::chrono::seconds(3);
  sample.attempts = 1;
  std::vector<MetricsKey> keys;
  keys.reserve(customers);
  for (std::size_t i = 0; i < customers; ++i) {
    keys.push_back({"customer-" + std::to_string(i), "standard"});
    metrics.Record(keys.back(), sample);
  }
  const std::size_t bytes = HeapBytes() - before;
  const double record = MeanNanoseconds(kRecords, [&](int i) {
    metrics.Record(keys[static_cast<std::size_t>(i) % customers], sample);
  });
  std::size_t text = 0;
  const double render = MeanNanoseconds(
      1, [&](int) { text = ToPrometheus(metrics.Snapshot()).size(); });
  std::cout << "customers=" << customers << " ns_per_record=" << record
            << " bytes_per_customer=" << bytes / customers
            << " text_bytes=" << text << " text_ms=" << render / 1e6 << '\n';
}

void MeasureTokens() {
  RequestTimer timer{TimePoint()};
  TimePoint now{};
  const double token = MeanNanoseconds(kRecords * kTokens / 64, [&](int) {
    now += std::chrono::milliseconds(20);
    timer.OnToken(now);
  });
  std::cout << "ns_per_token=" << token << '\n';
}

}  // namespace
}  // namespace sycamoreford

int main() {
  sycamoreford::MeasureTokens();
  for (const std::size_t customers : {10, 110, 440, 880}) {
    sycamoreford::Measure(customers);
  }
  return 0;
}
