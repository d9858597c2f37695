#include "sycamoreford/adapters/config_service.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

constexpr const char* kDaemonPrefix = "daemon/";
constexpr std::chrono::milliseconds kGossipInterval{500};
constexpr std::chrono::seconds kMemberRowInterval{120};
constexpr std::chrono::seconds kMemberRowRetryInterval{5};
/// Unix time at which the heartbeat counter is 0; it grows by one per gossip
/// interval, so a restarted daemon starts with a higher heartbeat.
constexpr std::chrono::seconds kHeartbeatEpoch{1'767'225'600};

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

std::uint32_t FirstHeartbeat() {
  return static_cast<std::uint32_t>(
      (WallNow().time_since_epoch() - kHeartbeatEpoch) / kGossipInterval);
}

std::string RowKey(const std::string& name) {
  return kDaemonPrefix + name;
}

}  // namespace

ConfigService::ConfigService(asio::io_context& context,
                             const Settings& settings,
                             HttpTableClient& table,
                             ConfigHolder& holder,
                             ServePermit& permit,
                             const std::atomic<bool>& draining)
    : strand_(asio::make_strand(context)),
      settings_(settings),
      table_(table),
      holder_(holder),
      permit_(permit),
      draining_(draining),
      channel_(settings.listen.peers),
      node_(MakeNode(settings)) {}

ConfigService::Node ConfigService::MakeNode(const Settings& settings) {
  MemberInfo self{.name = settings.name,
                  .address = channel_.address(),
                  .data_centre = settings.data_centre,
                  .region = settings.region,
                  .incarnation = static_cast<std::uint64_t>(
                      WallNow().time_since_epoch().count())};
  NodeHooks hooks;
  hooks.now = [] { return Instant{SteadyClock().Now(), WallNow()}; };
  hooks.send = [this](const std::vector<OutgoingMessage>& messages) {
    Send(messages);
  };
  hooks.wait = [this](std::chrono::milliseconds time) -> asio::awaitable<void> {
    asio::steady_timer timer(strand_, time);
    co_await timer.async_wait(asio::use_awaitable);
  };
  return {table_,
          Membership(std::move(self), FirstHeartbeat(), std::random_device{}()),
          settings.limits.isolation_grace, std::move(hooks)};
}

void ConfigService::Start() {
  channel_.Start([this](v1::PeerMessage message) {
    asio::post(strand_,
               [this, message = std::move(message)] { Receive(message); });
  });
  asio::co_spawn(strand_, PollLoop(), asio::detached);
  asio::co_spawn(strand_, GossipLoop(), asio::detached);
  asio::co_spawn(strand_, MemberRowLoop(), asio::detached);
}

void ConfigService::Send(const std::vector<OutgoingMessage>& messages) {
  const TimePoint now = SteadyClock().Now();
  for (const OutgoingMessage& outgoing : messages) {
    auto sent = channel_.Send(outgoing.address, outgoing.message, now);
    if (!sent) {
      LogEvent(Severity::kDebug, "peer_message_dropped")
          .With("peer", outgoing.address)
          .With("error", ToString(sent.error().code));
    }
  }
}

void ConfigService::Receive(const v1::PeerMessage& message) {
  auto received = node_.Receive(message);
  if (!received) {
    LogEvent(Severity::kWarning, "peer_message_refused")
        .With("where", received.error().where);
    return;
  }
  Publish("peer");
}

void ConfigService::Publish(const char* source) {
  const Revision before = holder_.current()->revision();
  holder_.Publish(node_.follower());
  const Revision after = holder_.current()->revision();
  if (after > before) {
    LogEvent(Severity::kInfo, "config_in_force")
        .With("revision", after.value())
        .With("source", source);
  }
  const ServeDecision decision = node_.Serve();
  permit_.Set(decision.until);
  if (decision.reason != last_reason_) {
    last_reason_ = decision.reason;
    LogEvent(decision.until ? Severity::kInfo : Severity::kWarning,
             decision.until ? "serving" : "not_serving")
        .With("reason", ToString(decision.reason))
        .With("revision", after.value());
  }
}

asio::awaitable<void> ConfigService::PollLoop() {
  asio::steady_timer timer(strand_);
  std::mt19937_64 random(std::random_device{}());
  // Jitter keeps daemons that started together from polling together.
  std::uniform_real_distribution<double> jitter(0.8, 1.0);
  for (;;) {
    co_await PollOnce();
    timer.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.table.poll_interval * jitter(random)));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> ConfigService::PollOnce() {
  auto head = co_await node_.Poll();
  if (node_.table_reachable() != table_was_reachable_) {
    table_was_reachable_ = node_.table_reachable();
    LogEvent(Severity::kWarning,
             table_was_reachable_ ? "table_reachable" : "table_unreachable")
        .With("revision", node_.follower().current()->revision().value());
  }
  if (!head && head.error().code == Errc::kMalformed) {
    LogEvent(Severity::kError, "config_rows_invalid")
        .With("where", head.error().where)
        .With("revision", node_.follower().current()->revision().value());
  }
  Publish("table");
}

FleetPosition ConfigService::PositionInFleet() {
  FleetPosition fleet;
  const std::string& name = node_.membership().self().name;
  for (const MemberState& other :
       node_.membership().OtherMembers(SteadyClock().Now())) {
    if (other.is_alive) {
      ++fleet.count;
      fleet.index += other.info.name < name ? 1U : 0U;
    }
  }
  return fleet;
}

asio::awaitable<void> ConfigService::GossipLoop() {
  asio::steady_timer timer(strand_);
  for (const std::string& seed : settings_.seeds) {
    std::vector<OutgoingMessage> join_messages;
    join_messages.push_back(
        node_.membership().JoinMessage(seed, {SteadyClock().Now(), WallNow()}));
    Send(join_messages);
  }
  for (;;) {
    node_.Tick(draining_);
    fleet_ = PositionInFleet();
    if (channel_.malformed_count() != logged_malformed_count_) {
      logged_malformed_count_ = channel_.malformed_count();
      LogEvent(Severity::kWarning, "peer_messages_malformed")
          .With("total", logged_malformed_count_);
    }
    Publish("peer");
    timer.expires_after(kGossipInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> ConfigService::MemberRowLoop() {
  asio::steady_timer timer(strand_);
  bool is_written = false;
  for (;;) {
    if (!is_written) {
      is_written = co_await WriteOwnRow();
    }
    const bool is_read = co_await ReadMemberRows();
    timer.expires_after(is_written && is_read ? kMemberRowInterval
                                              : kMemberRowRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool> ConfigService::WriteOwnRow() {
  TableTransaction transaction;
  const MemberInfo& self = node_.membership().self();
  transaction.writes.push_back(
      {RowKey(self.name), ToTableJson(ToMessage(self))});
  // The write is idempotent, so it is retried if its response is lost.
  auto written = co_await table_.Commit(transaction);
  co_return written.has_value();
}

asio::awaitable<bool> ConfigService::ReadMemberRows() {
  TableRead read;
  read.prefixes = {kDaemonPrefix};
  auto rows = co_await table_.Read(read);
  if (!rows) {
    co_return false;
  }
  const TimePoint now = SteadyClock().Now();
  for (const TableRow& row : *rows) {
    v1::Member member;
    if (!FromTableJson(row.value, member)) {
      continue;
    }
    auto added = node_.membership().AddOrUpdateMember(
        {.name = member.name(),
         .address = member.address(),
         .data_centre = member.data_center(),
         .region = member.region(),
         .incarnation = member.incarnation()},
        now);
    if (!added) {
      LogEvent(Severity::kWarning, "member_refused")
          .With("name", member.name())
          .With("error", ToString(added.error().code));
    }
  }
  co_await RemoveSilentMemberRows(*rows);
  co_return true;
}

asio::awaitable<void> ConfigService::RemoveSilentMemberRows(
    const std::vector<TableRow>& rows) {
  const TimePoint now = SteadyClock().Now();
  const std::vector<std::string> removed_names =
      node_.membership().RemoveSilentMembers(now);
  if (!node_.membership().HasLowestLiveId(now)) {
    co_return;
  }
  for (const std::string& name : removed_names) {
    for (const TableRow& row : rows) {
      if (row.key == RowKey(name)) {
        TableTransaction removal;
        removal.conditions.push_back({row.key, row.version});
        removal.writes.push_back({row.key, std::nullopt});
        (void)co_await table_.Commit(removal);
      }
    }
  }
}

asio::awaitable<void> ConfigService::Leave() {
  co_await asio::post(strand_, asio::use_awaitable);
  node_.Leave();
  TableRead read;
  const MemberInfo& self = node_.membership().self();
  read.keys.push_back(RowKey(self.name));
  auto rows = co_await table_.Read(read);
  v1::Member member;
  if (!rows || rows->empty() || !FromTableJson(rows->front().value, member) ||
      member.incarnation() != self.incarnation) {
    co_return;
  }
  TableTransaction removal;
  removal.conditions.push_back({rows->front().key, rows->front().version});
  removal.writes.push_back({rows->front().key, std::nullopt});
  (void)co_await table_.Commit(removal);
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
  auto change = co_await node_.Apply(std::move(request), std::move(origin));
  Publish("operator");
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
  const std::uint64_t newest = node_.follower().current()->revision().value();
  const std::uint64_t end =
      before == Revision() ? newest + 1 : std::min(before.value(), newest + 1);
  TableRead read;
  for (std::uint64_t revision = end;
       revision > 1 && read.keys.size() < limit;) {
    read.keys.push_back(ConfigChangeKey(Revision(--revision)));
  }
  if (read.keys.empty()) {
    co_return std::vector<v1::Change>();
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
  std::sort(changes.begin(), changes.end(),
            [](const v1::Change& a, const v1::Change& b) {
              return a.revision() > b.revision();
            });
  co_return changes;
}

std::vector<MemberState> ConfigService::Members() {
  return asio::co_spawn(strand_, ReadMembers(), asio::use_future).get();
}

asio::awaitable<std::vector<MemberState>> ConfigService::ReadMembers() {
  co_return node_.membership().OtherMembers(SteadyClock().Now());
}

}  // namespace sycamoreford
