// Cost and speed of gossip among daemons, measured with the daemons' Membership
// objects in one thread and in simulated time, without sockets.
//
// Prints, for several numbers of daemons: payload and wire bytes per second and
// daemon (sent and received), CPU time, the age of the status reports that a
// daemon has of the others, the time until all daemons have detected a crash,
// and the rounds in which a pushed change reaches all. docs/CAPACITY.md uses
// the slopes.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "fakes/gossip_network.h"

namespace sycamoreford {
namespace {

using fakes::GossipNetwork;

/// Overhead of a message in bytes: TCP and IP headers, acknowledgement and nng
/// framing.
constexpr double kFramingBytes = 40 + 12 + 40 + 12 + 8 + 3;

struct Row {
  std::size_t daemons = 0;
  double payload_bytes_per_s = 0;
  double wire_bytes_per_s = 0;
  double cpu_percent = 0;
  double age_p50 = 0;
  double age_p99 = 0;
  double under_10s_share = 0;
  double falsely_suspected_share = 0;
  double crash_detection_s = 0;
  double pushed_share = 0;
  int push_rounds = 0;
};

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Ages of all status reports in all views in seconds, sorted; also sets the
/// share of falsely suspected members in `row`.
std::vector<double> Ages(GossipNetwork& network, Row& row) {
  std::vector<double> ages;
  std::size_t suspected = 0;
  const TimePoint now = network.Now().steady;
  for (std::size_t i = 0; i < network.size(); ++i) {
    for (const MemberState& member : network.view(i).OtherMembers(now)) {
      ages.push_back(member.reported_at ? Seconds(now - *member.reported_at)
                                        : 1e9);
      suspected += member.is_alive ? 0 : 1;
    }
  }
  std::sort(ages.begin(), ages.end());
  row.falsely_suspected_share =
      static_cast<double>(suspected) / static_cast<double>(ages.size());
  return ages;
}

/// Forwards a change to `PushTargets`, once per daemon, until it reaches no new
/// daemon.
void MeasurePush(GossipNetwork& network, Row& row) {
  std::set<std::string> reached{"0"};
  std::vector<std::string> newly_reached{"0"};
  while (!newly_reached.empty()) {
    std::vector<std::string> next_reached;
    for (const std::string& address : newly_reached) {
      for (const std::string& target : network.view(std::stoul(address))
                                           .PushTargets(network.Now().steady)) {
        if (reached.insert(target).second) {
          next_reached.push_back(target);
        }
      }
    }
    row.push_rounds += next_reached.empty() ? 0 : 1;
    newly_reached = std::move(next_reached);
  }
  row.pushed_share =
      static_cast<double>(reached.size()) / static_cast<double>(network.size());
}

Row Measure(std::size_t daemons) {
  constexpr std::chrono::seconds kWarmUp{120};
  constexpr std::chrono::seconds kMeasuredTime{60};
  Row row;
  row.daemons = daemons;
  GossipNetwork network(daemons, 20261203);
  network.Advance(kWarmUp);
  const std::size_t bytes = network.bytes();
  const std::size_t messages = network.messages();
  const std::clock_t cpu = std::clock();
  network.Advance(kMeasuredTime);
  const double daemon_seconds =
      Seconds(kMeasuredTime) * static_cast<double>(daemons);
  const auto sent = static_cast<double>(network.bytes() - bytes);
  const auto count = static_cast<double>(network.messages() - messages);
  row.payload_bytes_per_s = 2 * sent / daemon_seconds;
  row.wire_bytes_per_s = 2 * (sent + count * kFramingBytes) / daemon_seconds;
  row.cpu_percent = 100.0 * static_cast<double>(std::clock() - cpu) /
                    CLOCKS_PER_SEC / daemon_seconds;
  const std::vector<double> ages = Ages(network, row);
  row.age_p50 = ages[ages.size() / 2];
  row.age_p99 = ages[ages.size() * 99 / 100];
  row.under_10s_share =
      static_cast<double>(std::lower_bound(ages.begin(), ages.end(), 10.0) -
                          ages.begin()) /
      static_cast<double>(ages.size());
  MeasurePush(network, row);
  const TimePoint crash = network.Now().steady;
  network.Crash(daemons - 1);
  const auto has_detected = [&](std::size_t i) {
    for (const MemberState& member :
         network.view(i).OtherMembers(network.Now().steady)) {
      if (member.info.address == std::to_string(daemons - 1)) {
        return !member.is_alive;
      }
    }
    return true;
  };
  for (std::size_t i = 0; i + 1 < daemons;) {
    if (has_detected(i)) {
      ++i;
    } else {
      network.Advance(std::chrono::milliseconds(500));
    }
  }
  row.crash_detection_s = Seconds(network.Now().steady - crash);
  return row;
}

void Print(const std::vector<Row>& rows) {
  std::printf("%8s %10s %10s %8s %8s %8s %9s %10s %9s %7s %7s\n", "daemons",
              "payload/s", "wire/s", "cpu %", "age p50", "age p99", "under10s",
              "falsely", "crash s", "pushed", "rounds");
  for (const Row& row : rows) {
    std::printf(
        "%8zu %10.0f %10.0f %8.4f %8.1f %8.1f %9.4f %10.6f %9.1f %7.3f %7d\n",
        row.daemons, row.payload_bytes_per_s, row.wire_bytes_per_s,
        row.cpu_percent, row.age_p50, row.age_p99, row.under_10s_share,
        row.falsely_suspected_share, row.crash_detection_s, row.pushed_share,
        row.push_rounds);
  }
  const Row& first = rows.front();
  const Row& last = rows.back();
  const auto extra_daemons = static_cast<double>(last.daemons - first.daemons);
  std::printf("slopes for each daemon more: %.2f B/s, %.6f %% of a core\n",
              (last.wire_bytes_per_s - first.wire_bytes_per_s) / extra_daemons,
              (last.cpu_percent - first.cpu_percent) / extra_daemons);
}

}  // namespace
}  // namespace sycamoreford

int main() {
  std::vector<sycamoreford::Row> rows;
  for (const std::size_t daemons : {9U, 50U, 150U, 390U}) {
    rows.push_back(sycamoreford::Measure(daemons));
  }
  sycamoreford::Print(rows);
  return 0;
}
