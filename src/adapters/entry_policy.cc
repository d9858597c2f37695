#include "sycamoreford/adapters/entry_policy.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <utility>

#include <xxhash.h>

#include "sycamoreford/admission/local_share.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t kChoices = 2;
/// Maximum concurrency of a daemon, as a multiple of its share of the pool's
/// concurrency, while there are several live daemons.
constexpr std::uint32_t kMaxShareFactor = 2;
/// Initial concurrency limit, in requests per fully loaded stage.
constexpr double kInitialRequestsPerStage = 3;
constexpr std::uint32_t kDefaultSlots = 16;
constexpr std::chrono::milliseconds kDefaultMaxWait{2'000};
/// Length of the prompt prefix that is hashed to route requests with the same
/// prefix to the same cache, in bytes.
constexpr std::size_t kPrefixBytes = 256;

std::uint64_t RandomNumber() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return generator();
}

/// Hash of the prompt prefix; 0 if the prompt is too short for prefix routing.
std::uint64_t PrefixHash(const std::string& messages) {
  return messages.size() < kPrefixBytes
             ? 0
             : XXH3_64bits(messages.data(), kPrefixBytes);
}

std::set<EndpointId> EndpointsOf(const Configuration& config) {
  std::set<EndpointId> ids;
  for (const v1::Resource* pool : config.List(v1::KIND_POOL)) {
    for (const v1::Endpoint& endpoint : pool->pool().endpoints()) {
      ids.emplace(endpoint.name());
    }
  }
  return ids;
}

}  // namespace

void EntryPolicy::SetFleet(const FleetPosition& fleet) {
  fleet_ = fleet;
}

FleetPosition EntryPolicy::fleet() const {
  return fleet_;
}

std::shared_ptr<const PlanSet> EntryPolicy::PlansFor(
    const ConfigurationPtr& config) {
  const std::uint64_t revision = config->revision().value();
  std::uint64_t configured = configured_revision_;
  if (configured < revision &&
      configured_revision_.compare_exchange_strong(configured, revision)) {
    endpoints_.SetConfigured(EndpointsOf(*config), clock_.Now());
  }
  return plans_.Get(config, fleet());
}

AdmissionRequest EntryPolicy::ToAdmissionRequest(const CallerRequest& caller,
                                                 const std::string& pool,
                                                 double concurrency,
                                                 double max_tokens_per_second,
                                                 double unit_seconds) const {
  const FleetPosition position = fleet();
  const v1::Customer& customer =
      caller.config->Find(v1::KIND_CUSTOMER, caller.customer.value())
          ->customer();
  const v1::Priority& priority =
      caller.config->Find(v1::KIND_PRIORITY, customer.priority())->priority();
  AdmissionRequest request;
  request.pool = pool;
  request.concurrency_share =
      static_cast<std::uint32_t>(std::ceil(concurrency / position.count));
  request.concurrency_share = std::max(request.concurrency_share, 1U);
  request.max_concurrency = position.count > 1
                                ? kMaxShareFactor * request.concurrency_share
                                : request.concurrency_share;
  // Number of requests that keeps all stages busy, with some queued at each.
  const double busy_requests = kInitialRequestsPerStage *
                               max_tokens_per_second * unit_seconds /
                               position.count;
  request.initial_concurrency =
      max_tokens_per_second > 0
          ? std::clamp(static_cast<std::uint32_t>(std::ceil(busy_requests)), 1U,
                       request.concurrency_share)
          : request.concurrency_share;
  request.unit_seconds = unit_seconds;
  request.customer = caller.customer;
  request.deadline = caller.deadline;
  CustomerPolicy& policy = request.policy;
  policy.rank = priority.rank();
  policy.weight = std::max(customer.weight(), 1U);
  policy.max_in_flight =
      LocalCount(customer.max_in_flight(), position, std::nullopt);
  policy.max_requests_per_second =
      LocalShare(customer.max_requests_per_second(), position, std::nullopt);
  policy.max_wait = priority.max_queue_ms() > 0
                        ? std::chrono::milliseconds(priority.max_queue_ms())
                        : kDefaultMaxWait;
  return request;
}

asio::awaitable<Result<AdmissionTicket>> EntryPolicy::AdmitAnswer(
    const CallerRequest& caller,
    const std::string& route,
    AnswerRequest& request) {
  request.plan = PlansFor(caller.config)->Find(route);
  request.chain_options.random = RandomNumber();
  request.chain_options.prefix_hash = PrefixHash(request.messages);
  request.chain_options.choices = kChoices;
  request.chain_options.daemons = fleet().count;
  request.may_retry = [this, customer = caller.customer](const Chain& chain,
                                                         bool resumes) {
    std::vector<EndpointId> ids;
    for (const ChainStage& stage : chain) {
      ids.push_back(stage.endpoint);
    }
    return retry_budgets_.MayRetry(customer, ids, resumes, clock_.Now());
  };
  retry_budgets_.OnRequest(caller.customer, clock_.Now());
  const v1::Resource* found = caller.config->Find(v1::KIND_ROUTE, route);
  const AdmissionRequest admission = ToAdmissionRequest(
      caller, found->route().pool(), request.plan->max_concurrency(),
      request.plan->max_tokens_per_second(), request.plan->token_seconds());
  co_return co_await gate_.Enter(admission);
}

asio::awaitable<Result<AdmissionTicket>> EntryPolicy::AdmitServiceCall(
    const CallerRequest& caller,
    const std::string& pool) {
  // Called only to update the configured endpoints of the endpoint table.
  (void)PlansFor(caller.config);
  double slots = 0;
  const v1::Resource* found = caller.config->Find(v1::KIND_POOL, pool);
  for (const v1::Endpoint& endpoint : found->pool().endpoints()) {
    slots += endpoint.slots() > 0 ? endpoint.slots() : kDefaultSlots;
  }
  retry_budgets_.OnRequest(caller.customer, clock_.Now());
  const AdmissionRequest admission =
      ToAdmissionRequest(caller, pool, slots, 0, 0);
  co_return co_await gate_.Enter(admission);
}

bool EntryPolicy::MayRetry(const CallerRequest& caller,
                           const EndpointId& endpoint) {
  return retry_budgets_.MayRetry(caller.customer, {endpoint}, false,
                                 clock_.Now());
}

}  // namespace sycamoreford
