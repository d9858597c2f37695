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

/// How long a daemon tries to keep the end of a claim.
constexpr std::chrono::milliseconds kSettleFor = std::chrono::minutes(10);
/// How long a finished answer waits for its record before it is sent.
constexpr std::chrono::milliseconds kKeepWait{1'000};
/// Most bytes of answers that wait to be kept.
constexpr std::size_t kMostUnkeptBytes = 16UL * 1024 * 1024;
constexpr std::chrono::milliseconds kSweepInterval = std::chrono::minutes(1);
constexpr std::chrono::milliseconds kDonePoll{20};
constexpr std::uint32_t kSweepPage = 100;

using ReplyChannel =
    asio::experimental::concurrent_channel<void(boost::system::error_code,
                                                Result<HttpResponse>)>;
using KeptChannel =
    asio::experimental::concurrent_channel<void(boost::system::error_code)>;

HttpResponse ToResponse(const StoredResponse& answer) {
  HttpResponse response;
  response.status = answer.status;
  response.content_type = answer.content_type;
  response.fields.Add("idempotent-replayed", "true");
  response.body = answer.body;
  return response;
}

Result<HttpResponse> ToResult(const ClaimReply& reply) {
  if (reply.replay) {
    return ToResponse(*reply.replay);
  }
  return *reply.refusal;
}

StoredResponse ToAnswer(const HttpResponse& response) {
  StoredResponse answer;
  answer.status = response.status;
  answer.content_type = response.content_type;
  answer.body = response.body;
  return answer;
}

std::chrono::milliseconds SweepPause() {
  thread_local std::minstd_rand generator(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> spread(
      kSweepInterval.count() / 2, kSweepInterval.count() * 3 / 2);
  return std::chrono::milliseconds(spread(generator));
}

}  // namespace

/// A claim with its work and the caller that waits for it.
struct ClaimService::Owned {
  Owned(const asio::any_io_executor& executor,
        ClaimMachine the_machine,
        Work the_work)
      : machine(std::move(the_machine)),
        work(std::move(the_work)),
        reply(executor, 1),
        kept(executor, 1) {}

  ClaimMachine machine;
  Work work;
  Result<HttpResponse> result{HttpResponse()};
  ReplyChannel reply;
  KeptChannel kept;
};

ClaimService::ClaimService(HttpTableClient& table)
    : table_(table), batcher_(table), store_(batcher_) {}

asio::awaitable<Result<HttpResponse>> ClaimService::RunOnce(const ClaimKey& key,
                                                            Claim claim,
                                                            Work work) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto owned = std::make_shared<Owned>(
      executor, ClaimMachine(ClaimRowKey(key), std::move(claim), kSettleFor),
      std::move(work));
  ++active_;
  asio::co_spawn(executor, Own(owned),
                 [this](const std::exception_ptr&) { --active_; });
  co_return co_await owned->reply.async_receive(asio::use_awaitable);
}

asio::awaitable<void> ClaimService::Own(std::shared_ptr<Owned> owned) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  co_await store_.Take(owned->machine);
  if (const auto& reply = owned->machine.reply()) {
    owned->reply.try_send(boost::system::error_code(), ToResult(*reply));
    co_await store_.StoreFinalState(owned->machine);
    co_return;
  }
  co_await RunWork(*owned);
  ++active_;
  asio::co_spawn(executor, KeepEnd(owned),
                 [this](const std::exception_ptr&) { --active_; });
  asio::steady_timer timer(executor, kKeepWait);
  co_await (owned->kept.async_receive(asio::use_awaitable) ||
            timer.async_wait(asio::use_awaitable));
  owned->reply.try_send(boost::system::error_code(), owned->result);
}

asio::awaitable<void> ClaimService::RunWork(Owned& owned) {
  try {
    owned.result = co_await owned.work();
  } catch (const std::exception& error) {
    LogEvent(Severity::kError, "claimed_work_threw")
        .With("reason", error.what());
    owned.result = Failure{.code = Errc::kInternal,
                           .outcome = Outcome::kUnknown,
                           .where = "service"};
  }
  const TimePoint now = clock_.Now();
  if (owned.result) {
    (void)owned.machine.OnResponse(ToAnswer(*owned.result), now);
  } else if (owned.result.error().outcome == Outcome::kNotRun) {
    (void)owned.machine.OnNotRun(now);
  } else {
    (void)owned.machine.OnUnknown(now);
  }
}

asio::awaitable<void> ClaimService::KeepEnd(std::shared_ptr<Owned> owned) {
  bool is_done = co_await store_.TryStoreFinalState(owned->machine);
  owned->kept.try_send(boost::system::error_code());
  if (!is_done) {
    const std::size_t bytes = owned->result ? owned->result->body.size() : 0;
    if (unkept_bytes_.fetch_add(bytes) + bytes <= kMostUnkeptBytes) {
      co_await store_.StoreFinalState(owned->machine);
    }
    unkept_bytes_ -= bytes;
  }
  if (!owned->machine.is_stored()) {
    LogEvent(Severity::kError, "claim_end_not_kept")
        .With("row", owned->machine.row_key());
  }
}

asio::awaitable<void> ClaimService::WaitUntilDone(
    std::chrono::milliseconds time) {
  const TimePoint bound = clock_.Now() + time;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (active_ > 0 && clock_.Now() < bound) {
    timer.expires_after(kDonePoll);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (active_ > 0) {
    LogEvent(Severity::kError, "claims_left").With("active", active_.load());
  }
}

asio::awaitable<void> ClaimService::SweepForever() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::string after;
  for (;;) {
    timer.expires_after(SweepPause());
    co_await timer.async_wait(asio::use_awaitable);
    co_await SweepPage(after);
  }
}

asio::awaitable<void> ClaimService::SweepPage(std::string& after) {
  TableRead read;
  read.prefixes.emplace_back(kClaimPrefix);
  read.after = after;
  read.limit = kSweepPage;
  const auto rows = co_await table_.Read(read);
  if (!rows) {
    co_return;
  }
  after = rows->size() < kSweepPage ? std::string() : rows->back().key;
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
