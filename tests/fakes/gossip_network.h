#pragma once

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sycamoreford/membership/membership.h"

namespace sycamoreford::fakes {

/// `Membership`s of many daemons, connected by a simulated network in one
/// thread and in simulated time. Counts the messages and bytes sent.
class GossipNetwork {
 public:
  /// Starts all daemons, each with the list of all others.
  GossipNetwork(std::size_t count, std::uint64_t seed)
      : random_(seed), daemons_(count) {
    for (std::size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  void Start(std::size_t i) { StartWithHeartbeat(i, Heartbeat()); }

  /// Starts a daemon with this initial heartbeat.
  void StartWithHeartbeat(std::size_t i, std::uint32_t heartbeat) {
    if (daemons_[i].view) {
      return;
    }
    daemons_[i].view.emplace(InfoOf(i), heartbeat, random_());
    daemons_[i].next_tick =
        Now().steady + std::chrono::milliseconds(random_() % 500);
    daemons_[i].is_paused = false;
    for (std::size_t j = 0; j < size(); ++j) {
      (void)daemons_[i].view->AddOrUpdateMember(InfoOf(j), Now().steady);
    }
  }

  /// Starts a daemon that knows only the address of daemon `seed`.
  void StartWithSeed(std::size_t i, std::size_t seed) {
    daemons_[i].view.emplace(InfoOf(i), Heartbeat(), random_());
    daemons_[i].next_tick = Now().steady;
    Send(i, daemons_[i].view->JoinMessage(std::to_string(seed), Now()));
  }

  void Crash(std::size_t i) { daemons_[i].view.reset(); }

  void Leave(std::size_t i) {
    if (!IsRunning(i)) {
      return;
    }
    for (const OutgoingMessage& outgoing : daemons_[i].view->Leave(Now(), {})) {
      Send(i, outgoing);
    }
    Crash(i);
  }

  void SetPaused(std::size_t i, bool paused) { daemons_[i].is_paused = paused; }
  void SetPartition(std::size_t i, int partition) {
    daemons_[i].partition = partition;
  }

  void Advance(std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds kStep{50};
    for (const auto end = now_ + time; now_ < end;) {
      now_ += kStep;
      Deliver();
      for (std::size_t i = 0; i < size(); ++i) {
        Tick(i);
      }
    }
  }

  [[nodiscard]] Instant Now() const {
    return {TimePoint(std::chrono::hours(24) + now_),
            WallTime(std::chrono::hours(24) + now_)};
  }
  [[nodiscard]] bool IsRunning(std::size_t i) const {
    return daemons_[i].view.has_value() && !daemons_[i].is_paused;
  }
  [[nodiscard]] std::size_t RunningCount() const {
    std::size_t live = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      live += IsRunning(i) ? 1 : 0;
    }
    return live;
  }
  [[nodiscard]] std::size_t size() const { return daemons_.size(); }
  Membership& view(std::size_t i) { return *daemons_[i].view; }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] std::size_t messages() const { return messages_; }

  /// Percentage of messages that are lost.
  int loss_percent = 0;
  /// Status that every daemon reports about itself.
  MemberStatus status{};

 private:
  struct Daemon {
    std::optional<Membership> view;
    bool is_paused = false;
    /// Only daemons with the same number can reach each other.
    int partition = 0;
    TimePoint next_tick{};
  };
  struct PendingDelivery {
    std::size_t from;
    std::size_t to;
    v1::PeerMessage message;
  };

  static MemberInfo InfoOf(std::size_t i) {
    return {.name = "entry-" + std::to_string(i),
            .address = std::to_string(i),
            .data_centre = "oyo",
            .region = "sw-ng"};
  }

  [[nodiscard]] std::uint32_t Heartbeat() const {
    return static_cast<std::uint32_t>(now_ / std::chrono::milliseconds(500)) +
           1'000;
  }

  void Tick(std::size_t i) {
    Daemon& daemon = daemons_[i];
    if (!IsRunning(i) || Now().steady < daemon.next_tick) {
      return;
    }
    daemon.next_tick += std::chrono::milliseconds(500);
    daemon.next_tick = std::max(daemon.next_tick, Now().steady);
    if (const auto outgoing = daemon.view->Tick(Now(), status)) {
      Send(i, *outgoing);
    }
  }

  void Send(std::size_t from, const OutgoingMessage& outgoing) {
    ++messages_;
    bytes_ += outgoing.message.ByteSizeLong();
    const std::size_t to = std::stoul(outgoing.address);
    if (static_cast<int>(random_() % 100) >= loss_percent) {
      pending_.push_back({from, to, outgoing.message});
    }
  }

  void Deliver() {
    std::vector<PendingDelivery> deliveries = std::move(pending_);
    pending_.clear();
    for (const PendingDelivery& delivery : deliveries) {
      Daemon& to = daemons_[delivery.to];
      if (!IsRunning(delivery.to) ||
          daemons_[delivery.from].partition != to.partition) {
        continue;
      }
      auto answers = to.view->Receive(delivery.message, Now());
      for (const OutgoingMessage& answer : answers.value()) {
        Send(delivery.to, answer);
      }
    }
  }

  std::mt19937_64 random_;
  std::chrono::milliseconds now_{0};
  std::vector<Daemon> daemons_;
  std::vector<PendingDelivery> pending_;
  std::size_t bytes_ = 0;
  std::size_t messages_ = 0;
};

}  // namespace sycamoreford::fakes
