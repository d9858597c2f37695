#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/faulty_table.h"
#include "support/run.h"
#include "sycamoreford/config/config_node.h"

namespace sycamoreford::fakes {

/// `ConfigNode`s of several daemons, with one shared table and a simulated
/// network that loses, duplicates, delays and reorders messages. Time is
/// simulated.
class ConfigNetwork {
 public:
  using Node = ConfigNode<FaultyTable>;

  static constexpr std::chrono::milliseconds kStep{100};
  static constexpr std::chrono::milliseconds kPollInterval{3'000};
  static constexpr std::chrono::milliseconds kGrace{10'000};

  struct Daemon {
    std::unique_ptr<FaultyTable> table;
    std::unique_ptr<Node> node;
    bool is_paused = false;
    /// Messages sent to the daemon from now on are lost.
    bool drops_incoming = false;
    /// Only daemons with the same number can reach each other.
    int partition = 0;
    int start_count = 0;
    TimePoint next_tick{};
    TimePoint next_poll{};
    Revision highest_revision{};
  };

  ConfigNetwork(int count, std::uint64_t seed) : random_(seed) {
    daemons_.resize(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Restart(i);
    }
  }

  /// Restarts a daemon without any of its previous state.
  void Restart(std::size_t i) {
    Daemon& daemon = daemons_[i];
    ++daemon.start_count;
    if (daemon.table == nullptr) {
      daemon.table = std::make_unique<FaultyTable>(table_);
    }
    const auto heartbeat = static_cast<std::uint32_t>(now_ / kStep) + 1;
    Membership membership(InfoOf(i), heartbeat, random_());
    for (std::size_t j = 0; j < daemons_.size(); ++j) {
      (void)membership.AddOrUpdateMember(InfoOf(j), Now().steady);
    }
    daemon.node = std::make_unique<Node>(
        *daemon.table, std::move(membership), kGrace,
        NodeHooks{
            [this] { return Now(); },
            [this, i](const std::vector<OutgoingMessage>& messages) {
              Send(i, messages);
            },
            [this](std::chrono::milliseconds time) { return Wait(time); }});
    daemon.is_paused = false;
    daemon.highest_revision = {};
    daemon.next_tick = Now().steady;
    daemon.next_poll = Now().steady;
  }

  /// Advances simulated time; calls `check` after every step.
  void Advance(std::chrono::milliseconds time) {
    for (const auto end = now_ + time; now_ < end;) {
      now_ += kStep;
      Deliver();
      for (Daemon& daemon : daemons_) {
        RunDue(daemon);
      }
      if (check) {
        check();
      }
    }
  }

  /// Applies a change at a daemon; simulated time advances while it waits.
  Result<v1::Change> Apply(std::size_t i,
                           ChangeRequest request,
                           ChangeOrigin origin) {
    return support::Run(
        daemons_[i].node->Apply(std::move(request), std::move(origin)));
  }

  [[nodiscard]] Instant Now() const {
    return {TimePoint(std::chrono::hours(24) + now_),
            WallTime(std::chrono::hours(24) + now_)};
  }

  std::vector<Daemon>& daemons() { return daemons_; }
  FakeTable& table() { return table_; }

  /// Percentages of messages that are lost and that are delivered twice.
  int loss_percent = 0;
  int duplicate_percent = 0;
  /// Whether all messages that carry changes or snapshots are lost.
  bool drops_changes = false;
  std::chrono::milliseconds max_delay{0};
  /// Called after every step of simulated time.
  std::function<void()> check;

 private:
  struct PendingDelivery {
    std::size_t from;
    std::size_t to;
    TimePoint due;
    v1::PeerMessage message;
  };

  static MemberInfo InfoOf(std::size_t i) {
    const std::string name = "entry-" + std::to_string(i);
    return {.name = name, .address = std::to_string(i)};
  }

  boost::asio::awaitable<void> Wait(std::chrono::milliseconds time) {
    Advance(std::max(time, kStep));
    co_return;
  }

  void Send(std::size_t from, const std::vector<OutgoingMessage>& messages) {
    for (const OutgoingMessage& outgoing : messages) {
      const std::size_t to = std::stoul(outgoing.address);
      const bool is_lost = static_cast<int>(random_() % 100) < loss_percent;
      const bool has_config = outgoing.message.changes_size() > 0 ||
                              outgoing.message.has_snapshot();
      if (is_lost || daemons_[from].partition != daemons_[to].partition ||
          daemons_[to].drops_incoming || (has_config && drops_changes)) {
        continue;
      }
      const int copies =
          static_cast<int>(random_() % 100) < duplicate_percent ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const auto delay = static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(max_delay.count() + 1));
        pending_.push_back({from, to,
                            Now().steady + std::chrono::milliseconds(delay),
                            outgoing.message});
      }
    }
  }

  void Deliver() {
    std::vector<PendingDelivery> due;
    std::vector<PendingDelivery> later;
    for (PendingDelivery& delivery : pending_) {
      const bool is_due =
          delivery.due <= Now().steady && !daemons_[delivery.to].is_paused;
      (is_due ? due : later).push_back(std::move(delivery));
    }
    pending_ = std::move(later);
    std::shuffle(due.begin(), due.end(), random_);
    for (const PendingDelivery& delivery : due) {
      if (daemons_[delivery.from].partition ==
          daemons_[delivery.to].partition) {
        (void)daemons_[delivery.to].node->Receive(delivery.message);
      }
    }
  }

  void RunDue(Daemon& daemon) {
    if (daemon.is_paused) {
      return;
    }
    if (Now().steady >= daemon.next_tick) {
      daemon.next_tick = Now().steady + std::chrono::milliseconds(500);
      daemon.node->Tick(false);
    }
    if (Now().steady >= daemon.next_poll) {
      daemon.next_poll = Now().steady + kPollInterval;
      (void)support::Run(daemon.node->Poll());
    }
  }

  std::mt19937_64 random_;
  std::chrono::milliseconds now_{0};
  FakeTable table_;
  std::vector<Daemon> daemons_;
  std::vector<PendingDelivery> pending_;
};

}  // namespace sycamoreford::fakes
