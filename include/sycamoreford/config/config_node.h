#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/config/config_editor.h"
#include "sycamoreford/config/config_exchange.h"
#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/read_config.h"
#include "sycamoreford/config/serve_gate.h"
#include "sycamoreford/membership/membership.h"

namespace sycamoreford {

/// The clock, network and timer that a `ConfigNode` uses.
struct NodeHooks {
  /// Returns the current time.
  std::function<Instant()> now;
  /// Sends messages, without a guarantee of delivery.
  std::function<void(std::vector<OutgoingMessage>)> send;
  /// Waits for this duration.
  std::function<boost::asio::awaitable<void>(std::chrono::milliseconds)> wait;
};

/// One daemon's replica of the configuration: follows the table and the peers,
/// writes operators' changes and decides whether the daemon may serve.
///
/// Time, messages and the table are provided by the caller. Thread safety:
/// none; the owner runs all calls on one strand. Coroutines may interleave.
template <TableClient Table>
class ConfigNode {
 public:
  /// \param grace as for `ServeGate`.
  ///
  /// Precondition: `table` outlives this object.
  ConfigNode(Table& table,
             Membership membership,
             Duration grace,
             NodeHooks hooks)
      : table_(table),
        membership_(std::move(membership)),
        gate_(grace),
        hooks_(std::move(hooks)),
        started_at_(hooks_.now().steady) {}

  /// Sends this interval's gossip message. Call once per gossip interval.
  void Tick(bool draining) {
    std::vector<OutgoingMessage> messages;
    auto outgoing = membership_.Tick(hooks_.now(), Status(draining));
    if (outgoing) {
      (void)exchange_.RequestMissingChanges(outgoing->message);
      messages.push_back(std::move(*outgoing));
    }
    hooks_.send(std::move(messages));
  }

  /// Handles a peer's message and sends the answers.
  ///
  /// \returns `kMalformed` when it violates the schema's rules; then no part of
  ///     it was applied.
  Result<void> Receive(const v1::PeerMessage& message) {
    const Instant at = hooks_.now();
    auto messages = membership_.Receive(message, at);
    if (!messages) {
      return messages.error();
    }
    const Revision before = follower_.current()->revision();
    OutgoingMessage answer = membership_.MessageTo(message.reply_to());
    const bool has_answer =
        exchange_.Receive(message, answer.message, at.steady);
    answer.message.set_revision(follower_.current()->revision().value());
    if (has_answer) {
      messages->push_back(std::move(answer));
    }
    for (const std::string& write_id : message.acknowledged()) {
      const auto found = acknowledged_.find(write_id);
      if (found != acknowledged_.end()) {
        found->second.insert(message.sender());
      }
    }
    hooks_.send(std::move(*messages));
    PushChangesSince(before);
    return {};
  }

  /// Reads the table until the follower has caught up with its head.
  ///
  /// \returns the head's revision; errors as for `ReadConfig`.
  boost::asio::awaitable<Result<Revision>> Poll() {
    const TimePoint started = hooks_.now().steady;
    auto head = co_await ReadConfig(table_, follower_, started);
    SetTableReachable(head.has_value() ||
                      head.error().code == Errc::kMalformed);
    if (!head) {
      co_return head.error();
    }
    exchange_.announcements().RemoveExpired(started);
    if (started >= started_at_ + kMaxApplyDuration) {
      earlier_writes_ended_ = true;
    }
    co_return head->revision;
  }

  /// Applies an operator's change: announces it to the peers, waits until a
  /// majority has acknowledged the announcement, writes the change to the table
  /// and pushes it to peers.
  ///
  /// \returns as `ConfigEditor::Apply`, or `kConfigUnconfirmed` (not run) when
  ///     no majority of the known daemons acknowledges the announcement.
  boost::asio::awaitable<Result<v1::Change>> Apply(ChangeRequest request,
                                                   ChangeOrigin origin) {
    ConfigEditor<Table> editor(table_);
    auto change = co_await editor.Prepare(follower_, request, origin,
                                          hooks_.now().steady);
    SetTableReachable(change.has_value() ||
                      change.error().code != Errc::kTableUnavailable);
    if (!change || request.dry_run) {
      co_return change;
    }
    const bool is_announced = co_await Announce(*change);
    if (!is_announced) {
      Withdraw(origin.write_id);
      co_return Failure{.code = Errc::kConfigUnconfirmed,
                        .where = "peers",
                        .retry_after = kRetryAfter};
    }
    const Revision before = follower_.current()->revision();
    auto written = co_await editor.Commit(follower_, hooks_.now().steady);
    for (int i = 0; i < kMaxResolveAttempts && IsUnknown(written); ++i) {
      co_await hooks_.wait(kResolveInterval);
      written = co_await editor.ResolveOutcome(follower_, hooks_.now().steady);
    }
    if (!written && !IsUnknown(written)) {
      Withdraw(origin.write_id);
    }
    PushChangesSince(before);
    co_return written;
  }

  /// Whether the daemon may accept new requests, and until when.
  [[nodiscard]] ServeDecision Serve() {
    const TimePoint now = hooks_.now().steady;
    std::vector<PeerStatus> peers;
    for (const MemberState& member : membership_.OtherMembers(now)) {
      peers.push_back({.reported_at = member.reported_at,
                       .revision = member.status.revision,
                       .table_reachable = member.status.table_reachable,
                       .guarantees_no_newer_change =
                           member.status.guarantees_no_newer_change});
    }
    const LocalStatus local{
        .revision = follower_.current()->revision(),
        .confirmed_at = follower_.confirmed_at(),
        .is_behind = IsBehind(),
        .guarantees_no_newer_change = GuaranteesNoNewerChange(),
        .max_members_known = membership_.max_members_known()};
    return gate_.Decide(now, local, peers);
  }

  /// Notifies peers of a planned exit.
  void Leave() { hooks_.send(membership_.Leave(hooks_.now(), Status(true))); }

  [[nodiscard]] ConfigFollower& follower() noexcept { return follower_; }
  [[nodiscard]] Membership& membership() noexcept { return membership_; }
  [[nodiscard]] ConfigExchange& exchange() noexcept { return exchange_; }
  [[nodiscard]] bool table_reachable() const noexcept {
    return table_reachable_;
  }

 private:
  static constexpr std::chrono::milliseconds kAckPollInterval{20};
  static constexpr int kMaxAckPolls = 100;
  static constexpr std::chrono::milliseconds kResolveInterval{500};
  static constexpr int kMaxResolveAttempts = 16;
  /// Maximum time from an announcement to the end of its write, unless the
  /// table itself delays the write.
  static constexpr std::chrono::seconds kMaxApplyDuration{15};
  static constexpr std::chrono::milliseconds kRetryAfter{2'000};

  static bool IsUnknown(const Result<v1::Change>& result) {
    return !result && result.error().code == Errc::kTableAnswerLost;
  }

  void SetTableReachable(bool reachable) noexcept {
    table_reachable_ = reachable;
  }

  /// Whether this daemon can guarantee that no change above its revision is
  /// pending: none is known now, and the writes of any announcements that it
  /// acknowledged before a restart have ended.
  bool GuaranteesNoNewerChange() {
    return earlier_writes_ended_ && !IsBehind();
  }

  bool IsBehind() {
    return exchange_.HasPendingAnnouncement() ||
           follower_.highest_known_revision() > follower_.current()->revision();
  }

  MemberStatus Status(bool draining) {
    return {.revision = follower_.current()->revision(),
            .table_reachable = table_reachable_,
            .guarantees_no_newer_change = GuaranteesNoNewerChange(),
            .draining = draining};
  }

  /// Sends a message, filled by `fill`, to every other member.
  void SendToMembers(const std::function<void(v1::PeerMessage&)>& fill) {
    std::vector<OutgoingMessage> messages;
    for (const MemberState& member :
         membership_.OtherMembers(hooks_.now().steady)) {
      OutgoingMessage outgoing = membership_.MessageTo(member.info.address);
      fill(outgoing.message);
      messages.push_back(std::move(outgoing));
    }
    hooks_.send(std::move(messages));
  }

  boost::asio::awaitable<bool> Announce(const v1::Change& change) {
    const Revision revision(change.revision());
    const std::string& write_id = change.write_id();
    (void)exchange_.announcements().Add(revision, write_id,
                                        hooks_.now().steady);
    acknowledged_[write_id] = {};
    SendToMembers([&](v1::PeerMessage& message) {
      v1::Announcement* item = message.add_announcements();
      item->set_revision(change.revision());
      item->set_write_id(write_id);
    });
    bool has_majority = false;
    for (int i = 0; i < kMaxAckPolls && !has_majority; ++i) {
      const std::size_t members_known = std::max(
          membership_.members_known(), membership_.max_members_known());
      has_majority = acknowledged_[write_id].size() >=
                     ServeGate::PeersForMajority(members_known);
      if (!has_majority) {
        co_await hooks_.wait(kAckPollInterval);
      }
    }
    acknowledged_.erase(write_id);
    co_return has_majority;
  }

  void Withdraw(const std::string& write_id) {
    exchange_.announcements().Withdraw(write_id);
    SendToMembers(
        [&](v1::PeerMessage& message) { message.add_withdrawn(write_id); });
  }

  /// Pushes the changes that came into force after `before` to peers.
  void PushChangesSince(Revision before) {
    const Revision revision = follower_.current()->revision();
    if (revision <= before) {
      return;
    }
    std::vector<OutgoingMessage> messages;
    for (const std::string& target :
         membership_.PushTargets(hooks_.now().steady)) {
      OutgoingMessage outgoing = membership_.MessageTo(target);
      outgoing.message.set_revision(revision.value());
      for (const v1::Change& change : follower_.recent_changes()) {
        if (change.revision() > before.value()) {
          *outgoing.message.add_changes() = change;
        }
      }
      messages.push_back(std::move(outgoing));
    }
    hooks_.send(std::move(messages));
  }

  Table& table_;
  Membership membership_;
  ServeGate gate_;
  NodeHooks hooks_;
  ConfigFollower follower_;
  ConfigExchange exchange_{follower_};
  bool table_reachable_ = false;
  /// Names of the daemons that acknowledged each pending announcement, by write
  /// id.
  std::map<std::string, std::set<std::string>> acknowledged_;
  TimePoint started_at_;
  bool earlier_writes_ended_ = false;
};

}  // namespace sycamoreford
