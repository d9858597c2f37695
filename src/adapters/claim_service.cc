#include "sycamoreford/adapters/claim_service.h"

#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

/// How long a daemon retries storing the final state of a claim.
constexpr std::chrono::milliseconds kMaxStoreTime = std::chrono::minutes(10);
/// How long a response is held back until the first attempt to store the final
/// state of its claim has ended. It is sent even if the attempt takes longer or
/// fails.
constexpr std::chrono::milliseconds kStoreWait{1'000};
/// Limit on the bytes of responses that wait to be stored. Above it, a claim
/// whose first attempt to store failed is not retried.
constexpr std::size_t kMaxUnstoredBytes = 16UL * 1024 * 1024;
constexpr std::chrono::milliseconds kSweepInterval = std::chrono::minutes(1);
constexpr std::chrono::milliseconds kDonePollInterval{20};
constexpr std::uint32_t kSweepPageSize = 100;

using ReplyChannel =
    asio::experimental::concurrent_channel<void(boost::system::error_code,
                                                Result<HttpResponse>)>;
using StoredChannel =
    asio::experimental::concurrent_channel<void(boost::system::error_code)>;

HttpResponse ToResponse(const StoredResponse& stored) {
  HttpResponse response;
  response.status = stored.status;
  response.content_type = stored.content_type;
  response.fields.Add("idempotent-replayed", "true");
  response.body = stored.body;
  return response;
}

Result<HttpResponse> ToResult(const ClaimReply& reply) {
  if (reply.replay) {
    return ToResponse(*reply.replay);
  }
  return *reply.refusal;
}

StoredResponse ToStoredResponse(const HttpResponse& response) {
  StoredResponse stored;
  stored.status = response.status;
  stored.content_type = response.content_type;
  stored.body = response.body;
  return stored;
}

std::chrono::milliseconds RandomSweepDelay() {
  thread_local std::minstd_rand generator(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> jitter(
      kSweepInterval.count() / 2, kSweepInterval.count() * 3 / 2);
  return std::chrono::milliseconds(jitter(generator));
}

}  // namespace

/// A claim, its work and the channel to the waiting caller.
struct ClaimService::ClaimedCall {
  ClaimedCall(const asio::any_io_executor& executor,
              ClaimMachine the_machine,
              Work the_work)
      : machine(std::move(the_machine)),
        work(std::move(the_work)),
        reply(executor, 1),
        stored(executor, 1) {}

  ClaimMachine machine;
  Work work;
  Result<HttpResponse> result{HttpResponse()};
  ReplyChannel reply;
  /// Signalled when the first attempt to store the final state has ended.
  StoredChannel stored;
};

ClaimService::ClaimService(HttpTableClient& table)
    : table_(table), batcher_(table), store_(batcher_) {}

asio::awaitable<Result<HttpResponse>> ClaimService::RunOnce(const ClaimKey& key,
                                                            Claim claim,
                                                            Work work) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto call = std::make_shared<ClaimedCall>(
      executor, ClaimMachine(ClaimRowKey(key), std::move(claim), kMaxStoreTime),
      std::move(work));
  ++active_;
  asio::co_spawn(executor, RunClaim(call),
                 [this](const std::exception_ptr&) { --active_; });
  co_return co_await call->reply.async_receive(asio::use_awaitable);
}

asio::awaitable<void> ClaimService::RunClaim(
    std::shared_ptr<ClaimedCall> call) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  co_await store_.Take(call->machine);
  if (const auto& reply = call->machine.reply()) {
    call->reply.try_send(boost::system::error_code(), ToResult(*reply));
    co_await store_.StoreFinalState(call->machine);
    co_return;
  }
  co_await RunWork(*call);
  ++active_;
  asio::co_spawn(executor, StoreFinalState(call),
                 [this](const std::exception_ptr&) { --active_; });
  asio::steady_timer timer(executor, kStoreWait);
  co_await (call->stored.async_receive(asio::use_awaitable) ||
            timer.async_wait(asio::use_awaitable));
  call->reply.try_send(boost::system::error_code(), call->result);
}

asio::awaitable<void> ClaimService::RunWork(ClaimedCall& call) {
  try {
    call.result = co_await call.work();
  } catch (const std::exception& error) {
    LogEvent(Severity::kError, "claimed_work_threw")
        .With("reason", error.what());
    call.result = Failure{.code = Errc::kInternal,
                          .outcome = Outcome::kUnknown,
                          .where = "service"};
  }
  const TimePoint now = clock_.Now();
  if (call.result) {
    (void)call.machine.OnResponse(ToStoredResponse(*call.result), now);
  } else if (call.result.error().outcome == Outcome::kNotRun) {
    (void)call.machine.OnNotRun(now);
  } else {
    (void)call.machine.OnUnknown(now);
  }
}

asio::awaitable<void> ClaimService::StoreFinalState(
    std::shared_ptr<ClaimedCall> call) {
  bool is_stored = co_await store_.TryStoreFinalState(call->machine);
  call->stored.try_send(boost::system::error_code());
  if (!is_stored) {
    const std::size_t bytes = call->result ? call->result->body.size() : 0;
    if (unstored_bytes_.fetch_add(bytes) + bytes <= kMaxUnstoredBytes) {
      co_await store_.StoreFinalState(call->machine);
    }
    unstored_bytes_ -= bytes;
  }
  if (!call->machine.is_stored()) {
    LogEvent(Severity::kError, "claim_state_not_stored")
        .With("row", call->machine.row_key());
  }
}

asio::awaitable<void> ClaimService::WaitUntilDone(
    std::chrono::milliseconds time) {
  const TimePoint deadline = clock_.Now() + time;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (active_ > 0 && clock_.Now() < deadline) {
    timer.expires_after(kDonePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (active_ > 0) {
    LogEvent(Severity::kError, "claims_unfinished")
        .With("active", active_.load());
  }
}

asio::awaitable<void> ClaimService::SweepForever() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::string after;
  for (;;) {
    timer.expires_after(RandomSweepDelay());
    co_await timer.async_wait(asio::use_awaitable);
    co_await SweepPage(after);
  }
}

asio::awaitable<void> ClaimService::SweepPage(std::string& after) {
  TableRead read;
  read.prefixes.emplace_back(kClaimPrefix);
  read.after = after;
  read.limit = kSweepPageSize;
  const auto rows = co_await table_.Read(read);
  if (!rows) {
    co_return;
  }
  after = rows->size() < kSweepPageSize ? std::string() : rows->back().key;
  const TableTransaction expired =
      SweepClaims(*rows, std::chrono::system_clock::now());
  if (!expired.writes.empty()) {
    const auto removed = co_await table_.Commit(expired);
    LogEvent(Severity::kInfo, "claims_swept")
        .With("rows", expired.writes.size())
        .With("removed", removed && *removed ? "yes" : "no");
  }
}

}  // namespace sycamoreford
