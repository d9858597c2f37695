// Costs for docs/CAPACITY.md: CPU time to choose a chain and to compute a pool
// plan, by number of replicas; CPU time of an API key lookup and of admission,
// and memory of admission, by number of customers.
#include <malloc.h>
#include <time.h>

#include <cstdio>
#include <cstdlib>

#include "support/samples.h"
#include "sycamoreford/admission/admission_controller.h"
#include "sycamoreford/admission/customer_keys.h"
#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/route/endpoint_table.h"

namespace sycamoreford::bench {
namespace {

/// CPU time of this process so far, in microseconds.
double CpuMicroseconds() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 +
         static_cast<double>(spent.tv_nsec) / 1e3;
}

/// CPU time of a call of `work` in microseconds: one sample for each of
/// `repeats` batches, the mean over its `batch_size` calls.
template <class Work>
Samples Measure(int repeats, int batch_size, const Work& work) {
  Samples samples;
  for (int i = 0; i < repeats; ++i) {
    const double start = CpuMicroseconds();
    for (int j = 0; j < batch_size; ++j) {
      work(i * batch_size + j);
    }
    samples.Add((CpuMicroseconds() - start) / batch_size);
  }
  return samples;
}

v1::Pool MakePool(int replicas, int stages, std::uint32_t layers) {
  v1::Pool pool;
  for (int i = 0; i < replicas * stages; ++i) {
    const auto stage = static_cast<std::uint32_t>(i % stages);
    v1::Endpoint* endpoint = pool.add_endpoints();
    endpoint->set_name("replica-" + std::to_string(i));
    endpoint->set_address("10.0.0.1:" + std::to_string(1000 + i));
    endpoint->set_first_layer(stage * layers / stages);
    endpoint->set_end_layer((stage + 1) * layers / stages);
    endpoint->set_tokens_per_second(1'000 + i % 7 * 100);
  }
  return pool;
}

void MeasurePlanner(int repeats) {
  constexpr int kStages = 4;
  v1::ModelVersion version;
  version.set_layers(48);
  for (const int replicas : {30, 150, 600}) {
    const v1::Pool pool = MakePool(replicas, kStages, version.layers());
    for (const std::uint32_t daemons : {9U, 390U}) {
      const FleetPosition fleet{1, daemons};
      const PoolPlan plan = PoolPlan::Compute(pool, version, fleet);
      EndpointTable table;
      std::set<EndpointId> ids;
      for (const v1::Endpoint& endpoint : pool.endpoints()) {
        ids.emplace(endpoint.name());
      }
      table.SetConfigured(ids, SteadyClock().Now());
      const Samples chain_time = Measure(repeats, 200, [&](int i) {
        ChainOptions options{.random = static_cast<std::uint64_t>(i),
                             .prefix_hash = static_cast<std::uint64_t>(i % 10),
                             .choices = 2,
                             .daemons = daemons};
        const auto loads = table.Snapshot(SteadyClock().Now());
        (void)PlanChain(plan, loads, options);
      });
      const Samples plan_time = Measure(repeats, 5, [&](int) {
        (void)PoolPlan::Compute(pool, version, fleet);
      });
      std::printf(
          "capacity replicas=%d daemons=%u endpoints_used=%zu chain_us=%s "
          "plan_us=%s\n",
          replicas, daemons, plan.stages().size(),
          chain_time.ToString().c_str(), plan_time.ToString().c_str());
    }
  }
}

void MeasureAdmission(int repeats) {
  for (const int customers : {10, 200, 880}) {
    const auto submit = [&](AdmissionController& admission, int i,
                            TimePoint now) {
      AdmissionRequest request;
      request.pool = "pool";
      request.concurrency_share = 64;
      request.max_concurrency = 64;
      request.initial_concurrency = 64;
      request.customer =
          CustomerId("customer-" + std::to_string(i % customers));
      request.policy.max_wait = std::chrono::seconds(100);
      request.policy.max_requests_per_second = 1e6;
      request.deadline = now + std::chrono::seconds(100);
      return admission.Submit(request, now);
    };
    const TimePoint now = SteadyClock().Now();
    const std::size_t before = mallinfo2().uordblks;
    AdmissionController admission(1);
    for (int i = 0; i < customers; ++i) {
      (void)submit(admission, i, now);
    }
    const std::size_t heap_growth = mallinfo2().uordblks - before;
    // Every customer has requests waiting; each round submits one request and
    // ends one.
    std::vector<AdmissionId> running;
    for (const auto& decision : admission.Dispatch(now)) {
      running.push_back(decision.id);
    }
    const Samples round_time = Measure(repeats, 200, [&](int i) {
      (void)submit(admission, i, now);
      const auto slot = static_cast<std::size_t>(i) % running.size();
      admission.End(running[slot], CompletionStatus::kServed, now);
      running[slot] = admission.Dispatch(now).front().id;
    });
    std::printf("capacity customers=%d admission_bytes=%.0f round_us=%s\n",
                customers, static_cast<double>(heap_growth) / customers,
                round_time.ToString().c_str());
  }
}

void MeasureKeys(int repeats) {
  for (const int customers : {10, 200, 880}) {
    v1::Change change;
    change.set_revision(1);
    const auto add = [&](v1::Kind kind, const std::string& name) {
      v1::Edit* edit = change.add_edits();
      edit->set_verb(v1::Edit::VERB_CREATE);
      edit->set_kind(kind);
      edit->mutable_resource()->set_name(name);
      return edit->mutable_resource();
    };
    add(v1::KIND_PRIORITY, "usual")->mutable_priority();
    for (int i = 0; i < customers; ++i) {
      const std::string name = "customer-" + std::to_string(i);
      v1::Customer* customer = add(v1::KIND_CUSTOMER, name)->mutable_customer();
      customer->set_priority("usual");
      customer->set_key_salt("salt");
      customer->set_key_sha256(HashSecret("salt", name));
    }
    const auto config =
        std::make_shared<const Configuration>(*Configuration().Apply(change));
    CustomerKeys keys;
    const std::string valid_key = "customer-" + std::to_string(customers / 2);
    const Samples valid_key_time =
        Measure(repeats, 200, [&](int) { (void)keys.Find(config, valid_key); });
    const Samples repeated_key_time = Measure(
        repeats, 200, [&](int) { (void)keys.Find(config, "repeated"); });
    const Samples wrong_key_time = Measure(repeats, 50, [&](int i) {
      (void)keys.Find(config, "wrong-" + std::to_string(i));
    });
    const Samples scan_time = Measure(
        repeats, 50, [&](int) { (void)config->FindCustomerByKey(valid_key); });
    std::printf(
        "capacity customers=%d known_key_us=%s wrong_key_us=%s "
        "repeated_wrong_us=%s scan_us=%s\n",
        customers, valid_key_time.ToString().c_str(),
        wrong_key_time.ToString().c_str(), repeated_key_time.ToString().c_str(),
        scan_time.ToString().c_str());
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  const int repeats = count > 1 ? std::atoi(arguments[1]) : 5;
  sycamoreford::bench::MeasurePlanner(repeats);
  sycamoreford::bench::MeasureAdmission(repeats);
  sycamoreford::bench::MeasureKeys(repeats);
}
