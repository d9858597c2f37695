#include "sycamoreford/adapters/config_service.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;

ConfigService::ConfigService(asio::io_context& context,
                             HttpTableClient& table,
                             ConfigHolder& holder,
                             std::chrono::milliseconds poll_interval)
    : strand_(asio::make_strand(context)),
      table_(table),
      holder_(holder),
      poll_interval_(poll_interval) {}

void ConfigService::Start() {
  asio::co_spawn(strand_, PollLoop(), asio::detached);
}

asio::awaitable<void> ConfigService::PollLoop() {
  asio::steady_timer timer(strand_);
  std::mt19937_64 random(std::random_device{}());
  // Daemons that start together must not poll together.
  std::uniform_real_distribution<double> spread(0.8, 1.0);
  for (;;) {
    co_await PollOnce();
    timer.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(
        poll_interval_ * spread(random)));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> ConfigService::PollOnce() {
  const Revision before = holder_.current()->revision();
  for (;;) {
    const Revision at = follower_.current()->revision();
    const TimePoint started = SteadyClock().Now();
    auto rows = co_await table_.Read(follower_.NextRead());
    if (rows.has_value() != table_was_up_) {
      table_was_up_ = rows.has_value();
      LogEvent(Severity::kWarning,
               table_was_up_ ? "table_reachable" : "table_unreachable")
          .With("revision", at.value());
    }
    if (!rows) {
      break;
    }
    auto head = follower_.OfferRows(*rows, started);
    if (!head) {
      LogEvent(Severity::kError, "config_rows_invalid")
          .With("revision", follower_.current()->revision().value());
      break;
    }
    const Revision now = follower_.current()->revision();
    if (*head <= now || now == at) {
      break;
    }
  }
  holder_.Publish(follower_);
  const Revision after = holder_.current()->revision();
  if (after > before) {
    LogEvent(Severity::kInfo, "config_in_force")
        .With("revision", after.value())
        .With("source", "table");
  }
}

Result<v1::Change> ConfigService::Apply(const ChangeRequest& request,
                                        const ChangeOrigin& origin) {
  return asio::co_spawn(strand_, ApplyOnStrand(request, origin),
                        asio::use_future)
      .get();
}

asio::awaitable<Result<v1::Change>> ConfigService::ApplyOnStrand(
    ChangeRequest request,
    ChangeOrigin origin) {
  ConfigEditor<HttpTableClient> editor(table_);
  auto change =
      co_await editor.Apply(follower_, request, origin, SteadyClock().Now());
  holder_.Publish(follower_);
  co_return change;
}

Result<std::vector<v1::Change>> ConfigService::History(Revision before,
                                                       std::uint32_t limit) {
  return asio::co_spawn(strand_, ReadHistory(before, limit), asio::use_future)
      .get();
}

asio::awaitable<Result<std::vector<v1::Change>>> ConfigService::ReadHistory(
    Revision before,
    std::uint32_t limit) {
  const std::uint64_t end = before == Revision()
                                ? follower_.current()->revision().value() + 1
                                : before.value();
  TableRead read;
  for (std::uint64_t revision = end;
       revision > 1 && read.keys.size() < limit;) {
    read.keys.push_back(ConfigChangeKey(Revision(--revision)));
  }
  auto rows = co_await table_.Read(read);
  if (!rows) {
    co_return rows.error();
  }
  std::vector<v1::Change> changes;
  for (const TableRow& row : *rows) {
    v1::Change change;
    if (!FromTableJson(row.value, change)) {
      co_return Failure{.code = Errc::kMalformed, .where = row.key};
    }
    changes.push_back(std::move(change));
  }
  co_return changes;
}

}  // namespace sycamoreford
