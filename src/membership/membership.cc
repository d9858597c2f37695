#include "sycamoreford/membership/membership.h"

#include <algorithm>

#include <xxhash.h>

namespace sycamoreford {
namespace {

constexpr std::chrono::milliseconds kAgeUnit{100};
/// Maximum age on the wire, 1 h; older reports are of no use to any member.
constexpr std::uint32_t kMaxAgeUnits = 36'000;

constexpr std::uint32_t kTableReachable = 1;
constexpr std::uint32_t kDraining = 2;
constexpr std::uint32_t kLeft = 4;
constexpr std::uint32_t kGuaranteesNoNewerChange = 8;

std::uint32_t FlagsOf(const MemberStatus& status) {
  return (status.table_reachable ? kTableReachable : 0U) |
         (status.draining ? kDraining : 0U) | (status.left ? kLeft : 0U) |
         (status.guarantees_no_newer_change ? kGuaranteesNoNewerChange : 0U);
}

/// The age on the wire; rounded up so that no hop makes a report seem younger.
std::uint32_t AgeOf(TimePoint reported_at, TimePoint now) {
  const Duration age = std::max(now - reported_at, Duration::zero());
  const auto units = (age + kAgeUnit - Duration(1)) / kAgeUnit;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(units, kMaxAgeUnits));
}

bool HasEqualColumns(const v1::Gossip& gossip, std::size_t max_size) {
  const int size = gossip.ids_size();
  return static_cast<std::size_t>(size) <= max_size &&
         gossip.heartbeats_size() == size && gossip.ages_size() == size &&
         gossip.revision_lags_size() == size && gossip.flags_size() == size;
}

void AddReport(v1::Gossip& gossip,
               MemberId id,
               std::uint32_t heartbeat,
               std::uint32_t age,
               const MemberStatus& status,
               Revision sender_revision) {
  gossip.add_ids(id.value());
  gossip.add_heartbeats(heartbeat);
  gossip.add_ages(age);
  gossip.add_revision_lags(static_cast<std::int64_t>(sender_revision.value() -
                                                     status.revision.value()));
  gossip.add_flags(FlagsOf(status));
}

MemberInfo FromMessage(const v1::Member& member) {
  return {.name = member.name(),
          .address = member.address(),
          .data_centre = member.data_center(),
          .region = member.region(),
          .incarnation = member.incarnation()};
}

}  // namespace

v1::Member ToMessage(const MemberInfo& info) {
  v1::Member member;
  member.set_name(info.name);
  member.set_address(info.address);
  member.set_data_center(info.data_centre);
  member.set_region(info.region);
  member.set_incarnation(info.incarnation);
  return member;
}

MemberId MemberIdOf(const std::string& name) {
  return MemberId(
      static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0)));
}

Membership::Membership(MemberInfo self,
                       std::uint32_t heartbeat,
                       std::uint64_t seed,
                       MembershipOptions options)
    : self_(std::move(self)),
      self_id_(MemberIdOf(self_.name)),
      options_(options),
      heartbeat_(heartbeat),
      random_(seed) {}

Result<void> Membership::AddOrUpdateMember(const MemberInfo& info,
                                           TimePoint now) {
  if (info.name.empty() || info.address.empty()) {
    return Failure{.code = Errc::kMalformed, .where = "member"};
  }
  const MemberId id = MemberIdOf(info.name);
  if (id == self_id_) {
    if (info.name != self_.name) {
      return Failure{.code = Errc::kConflict, .where = info.name};
    }
    return {};
  }
  const auto found = records_.find(id);
  if (found == records_.end()) {
    if (records_.size() >= options_.max_members) {
      return Failure{.code = Errc::kTooLarge, .where = "members"};
    }
    records_[id] = {.info = info, .status = {}, .added_at = now};
    return {};
  }
  if (found->second.info.name != info.name) {
    return Failure{.code = Errc::kConflict, .where = info.name};
  }
  if (info.incarnation >= found->second.info.incarnation) {
    found->second.info = info;
  }
  return {};
}

Duration Membership::SuspicionTimeout() const {
  return options_.suspicion_base +
         options_.suspicion_per_member *
             static_cast<std::int64_t>(records_.size());
}

bool Membership::IsAlive(const Record& record, TimePoint now) const {
  return record.reported_at && !record.status.left &&
         now - *record.reported_at < SuspicionTimeout();
}

v1::PeerMessage Membership::MakeMessage(Instant at) const {
  const TimePoint now = at.steady;
  v1::PeerMessage message;
  message.set_sender(self_.name);
  message.set_reply_to(self_.address);
  message.set_revision(status_.revision.value());
  message.set_sent_unix_ms(at.wall.time_since_epoch().count());
  message.set_members_known(static_cast<std::uint32_t>(members_known()));
  std::vector<std::pair<TimePoint, MemberId>> newest;
  for (const auto& [id, record] : records_) {
    if (record.reported_at) {
      newest.emplace_back(*record.reported_at, id);
    }
  }
  const std::size_t count = std::min(newest.size(), options_.max_reports - 1);
  std::partial_sort(newest.begin(),
                    newest.begin() + static_cast<std::ptrdiff_t>(count),
                    newest.end(), std::greater<>());
  v1::Gossip& gossip = *message.mutable_gossip();
  AddReport(gossip, self_id_, heartbeat_, 0, status_, status_.revision);
  for (std::size_t i = 0; i < count; ++i) {
    const Record& record = records_.at(newest[i].second);
    AddReport(gossip, newest[i].second, record.heartbeat,
              AgeOf(*record.reported_at, now), record.status, status_.revision);
  }
  return message;
}

std::vector<const Membership::Record*> Membership::LiveMembers(
    TimePoint now) const {
  std::vector<const Record*> live;
  for (const auto& [id, record] : records_) {
    if (IsAlive(record, now)) {
      live.push_back(&record);
    }
  }
  return live;
}

std::size_t Membership::members_known() const {
  std::size_t count = 1;
  for (const auto& [id, record] : records_) {
    count += record.status.left ? 0 : 1;
  }
  return count;
}

const Membership::Record* Membership::PickSuspectedPeer(TimePoint now) {
  constexpr std::size_t kProbeIntervals = 8;
  std::vector<const Record*> suspected;
  for (const auto& [id, record] : records_) {
    if (!record.status.left && !IsAlive(record, now)) {
      suspected.push_back(&record);
    }
  }
  const bool is_alone = suspected.size() == records_.size();
  if (suspected.empty() || (!is_alone && ticks_ % kProbeIntervals != 0)) {
    return nullptr;
  }
  return suspected[random_() % suspected.size()];
}

const Membership::Record* Membership::PickGossipPeer(TimePoint now) {
  std::erase_if(gossip_peers_, [&](MemberId id) {
    const auto found = records_.find(id);
    return found == records_.end() || !IsAlive(found->second, now);
  });
  if (!gossip_peers_.empty() && ticks_ % options_.gossip_peer_intervals == 0) {
    gossip_peers_.erase(gossip_peers_.begin());
  }
  if (gossip_peers_.size() < options_.max_gossip_peers) {
    std::vector<MemberId> others;
    for (const auto& [id, record] : records_) {
      if (IsAlive(record, now) &&
          std::find(gossip_peers_.begin(), gossip_peers_.end(), id) ==
              gossip_peers_.end()) {
        others.push_back(id);
      }
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(),
                           options_.max_gossip_peers - gossip_peers_.size()));
    gossip_peers_.insert(gossip_peers_.end(), others.begin(), others.end());
  }
  if (gossip_peers_.empty()) {
    return nullptr;
  }
  return &records_.at(gossip_peers_[random_() % gossip_peers_.size()]);
}

std::optional<OutgoingMessage> Membership::Tick(Instant at,
                                                const MemberStatus& status) {
  ++heartbeat_;
  status_ = status;
  ++ticks_;
  const Record* peer = PickSuspectedPeer(at.steady);
  if (peer == nullptr) {
    peer = PickGossipPeer(at.steady);
  }
  if (peer == nullptr) {
    return std::nullopt;
  }
  return OutgoingMessage{peer->info.address, MakeMessage(at)};
}

OutgoingMessage Membership::JoinMessage(const std::string& address,
                                        Instant at) {
  OutgoingMessage outgoing{address, MakeMessage(at)};
  *outgoing.message.add_members() = ToMessage(self_);
  return outgoing;
}

void Membership::ApplyReport(MemberId id,
                             std::uint32_t heartbeat,
                             TimePoint reported_at,
                             const MemberStatus& status) {
  if (id == self_id_) {
    // If this daemon used a higher heartbeat before a restart, continue above
    // it.
    heartbeat_ = std::max(heartbeat_, heartbeat);
    return;
  }
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  Record& record = found->second;
  if (record.reported_at && heartbeat <= record.heartbeat) {
    return;
  }
  record.heartbeat = heartbeat;
  record.reported_at = reported_at;
  record.status = status;
}

void Membership::ApplyGossip(const v1::PeerMessage& message, Instant at) {
  const Duration transit =
      at.wall - WallTime(std::chrono::milliseconds(message.sent_unix_ms()));
  if (transit < -options_.max_clock_skew) {
    return;
  }
  const TimePoint sent = at.steady - std::max(transit, Duration::zero());
  const v1::Gossip& gossip = message.gossip();
  for (int i = 0; i < gossip.ids_size(); ++i) {
    const MemberStatus status{
        .revision = Revision(message.revision() - static_cast<std::uint64_t>(
                                                      gossip.revision_lags(i))),
        .table_reachable = (gossip.flags(i) & kTableReachable) != 0,
        .guarantees_no_newer_change =
            (gossip.flags(i) & kGuaranteesNoNewerChange) != 0,
        .draining = (gossip.flags(i) & kDraining) != 0,
        .left = (gossip.flags(i) & kLeft) != 0};
    const std::uint32_t age = std::min(gossip.ages(i), kMaxAgeUnits);
    const MemberId id(gossip.ids(i));
    ApplyReport(id, gossip.heartbeats(i), sent - age * kAgeUnit, status);
  }
}

void Membership::FillAnswer(const v1::PeerMessage& message,
                            OutgoingMessage& answer) const {
  const auto limit = static_cast<int>(options_.max_introductions);
  for (const std::uint32_t raw : message.unknown_ids()) {
    const auto found = records_.find(MemberId(raw));
    if (MemberId(raw) == self_id_) {
      *answer.message.add_members() = ToMessage(self_);
    } else if (found != records_.end()) {
      *answer.message.add_members() = ToMessage(found->second.info);
    }
    if (answer.message.members_size() >= limit) {
      break;
    }
  }
  for (const std::uint32_t raw : message.gossip().ids()) {
    if (MemberId(raw) != self_id_ && records_.count(MemberId(raw)) == 0 &&
        answer.message.unknown_ids_size() < limit) {
      answer.message.add_unknown_ids(raw);
    }
  }
}

Result<std::vector<OutgoingMessage>> Membership::Receive(
    const v1::PeerMessage& message,
    Instant at) {
  const TimePoint now = at.steady;
  const auto introductions = static_cast<std::size_t>(message.members_size());
  if (message.sender().empty() || message.reply_to().empty() ||
      !HasEqualColumns(message.gossip(), options_.max_reports) ||
      introductions > options_.max_introductions + 1 ||
      static_cast<std::size_t>(message.unknown_ids_size()) >
          options_.max_introductions) {
    return Failure{.code = Errc::kMalformed, .where = "peer_message"};
  }
  for (const v1::Member& member : message.members()) {
    (void)AddOrUpdateMember(FromMessage(member), now);
  }
  ApplyGossip(message, at);
  if (now - max_members_known_at_ >= options_.suspicion_base ||
      message.members_known() > max_members_known_) {
    max_members_known_ = message.members_known();
    max_members_known_at_ = now;
  }
  OutgoingMessage answer = MessageTo(message.reply_to());
  FillAnswer(message, answer);
  std::vector<OutgoingMessage> answers;
  if (answer.message.members_size() > 0 ||
      answer.message.unknown_ids_size() > 0) {
    answers.push_back(std::move(answer));
  }
  return answers;
}

OutgoingMessage Membership::MessageTo(const std::string& address) const {
  OutgoingMessage outgoing{address, {}};
  outgoing.message.set_sender(self_.name);
  outgoing.message.set_reply_to(self_.address);
  outgoing.message.set_revision(status_.revision.value());
  return outgoing;
}

std::vector<std::string> Membership::PushTargets(TimePoint now) {
  std::vector<std::string> targets;
  std::vector<const Record*> peers = LiveMembers(now);
  std::shuffle(peers.begin(), peers.end(), random_);
  for (const Record* peer : peers) {
    if (targets.size() < options_.push_fan_out) {
      targets.push_back(peer->info.address);
    }
  }
  return targets;
}

std::vector<OutgoingMessage> Membership::Leave(Instant at,
                                               MemberStatus status) {
  ++heartbeat_;
  status.left = true;
  status_ = status;
  std::vector<OutgoingMessage> messages;
  for (std::string& target : PushTargets(at.steady)) {
    messages.push_back({std::move(target), MakeMessage(at)});
  }
  return messages;
}

std::vector<MemberState> Membership::OtherMembers(TimePoint now) const {
  std::vector<MemberState> others;
  for (const auto& [id, record] : records_) {
    if (!record.status.left) {
      others.push_back({.info = record.info,
                        .status = record.status,
                        .reported_at = record.reported_at,
                        .is_alive = IsAlive(record, now)});
    }
  }
  return others;
}

std::size_t Membership::LiveCount(TimePoint now) const {
  return 1 + LiveMembers(now).size();
}

std::vector<std::string> Membership::RemoveSilentMembers(TimePoint now) {
  std::vector<std::string> removed;
  for (auto it = records_.begin(); it != records_.end();) {
    const TimePoint last = it->second.reported_at.value_or(it->second.added_at);
    if (now - last < options_.remove_after) {
      ++it;
      continue;
    }
    removed.push_back(it->second.info.name);
    it = records_.erase(it);
  }
  return removed;
}

bool Membership::HasLowestLiveId(TimePoint now) const {
  for (const auto& [id, record] : records_) {
    if (id < self_id_ && IsAlive(record, now)) {
      return false;
    }
  }
  return true;
}

}  // namespace sycamoreford
