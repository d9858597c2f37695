// Cost and speed of the gossip among daemons: the daemons' own decision
// objects in one thread and simulated time, without sockets.
//
// Prints, for several numbers of daemons: bytes and messages a second for each
// daemon (out and in), processor time, the age of what a daemon knows of the
// others, the time until a crash is seen by all, and the time for a pushed
// change to reach all. The slopes feed docs/CAPACITY.md.
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

/// Bytes of TCP and IP headers, acknowledgement and nng framing of a message.
constexpr double kFramingBytes = 40 + 12 + 40 + 12 + 8 + 3;

struct Row {
  std::size_t daemons = 0;
  double payload = 0;
  double with_framing = 0;
  double cpu_percent = 0;
  double age_median = 0;
  double age_p99 = 0;
  double heard_share = 0;
  double false_suspicions = 0;
  double crash_seen = 0;
  double push_share = 0;
  int push_rounds = 0;
};

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Ages of all statements in all views, sorted.
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
  row.false_suspicions =
      static_cast<double>(suspected) / static_cast<double>(ages.size());
  return ages;
}

/// Passes a change on by `PushTargets`, each daemon once, until no one is new.
void MeasurePush(GossipNetwork& network, Row& row) {
  std::set<std::string> reached{"0"};
  std::vector<std::string> fresh{"0"};
  while (!fresh.empty()) {
    std::vector<std::string> next;
    for (const std::string& address : fresh) {
      for (const std::string& target : network.view(std::stoul(address))
                                           .PushTargets(network.Now().steady)) {
        if (reached.insert(target).second) {
          next.push_back(target);
        }
      }
    }
    row.push_rounds += next.empty() ? 0 : 1;
    fresh = std::move(next);
  }
  row.push_share =
      static_cast<double>(reached.size()) / static_cast<double>(network.size());
}

Row Measure(std::size_t daemons) {
  constexpr std::chrono::seconds kWarm{120};
  constexpr std::chrono::seconds kSpan{60};
  Row row;
  row.daemons = daemons;
  GossipNetwork network(daemons, 20261203);
  network.Advance(kWarm);
  const std::size_t bytes = network.bytes();
  const std::size_t messages = network.messages();
  const std::clock_t cpu = std::clock();
  network.Advance(kSpan);
  const double per = Seconds(kSpan) * static_cast<double>(daemons);
  const auto sent = static_cast<double>(network.bytes() - bytes);
  const auto count = static_cast<double>(network.messages() - messages);
  row.payload = 2 * sent / per;
  row.with_framing = 2 * (sent + count * kFramingBytes) / per;
  row.cpu_percent =
      100.0 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC / per;
  const std::vector<double> ages = Ages(network, row);
  row.age_median = ages[ages.size() / 2];
  row.age_p99 = ages[ages.size() * 99 / 100];
  row.heard_share =
      static_cast<double>(std::lower_bound(ages.begin(), ages.end(), 10.0) -
                          ages.begin()) /
      static_cast<double>(ages.size());
  MeasurePush(network, row);
  const TimePoint crash = network.Now().steady;
  network.Crash(daemons - 1);
  const auto sees = [&](std::size_t i) {
    for (const MemberState& member :
         network.view(i).OtherMembers(network.Now().steady)) {
      if (member.info.address == std::to_string(daemons - 1)) {
        return !member.is_alive;
      }
    }
    return true;
  };
  for (std::size_t i = 0; i + 1 < daemons;) {
    if (sees(i)) {
      ++i;
    } else {
      network.Advance(std::chrono::milliseconds(500));
    }
  }
  row.crash_seen = Seconds(network.Now().steady - crash);
  return row;
}

void Print(const std::vector<Row>& rows) {
  std::printf("%8s %10s %10s %8s %8s %8s %9s %10s %9s %7s %7s\n", "daemons",
              "payload/s", "wire/s", "cpu %", "age p50", "age p99", "under10s",
              "falsely", "crash s", "pushed", "rounds");
  for (const Row& row : rows) {
    std::printf(
        "%8zu %10.0f %10.0f %8.4f %8.1f %8.1f %9.4f %10.6f %9.1f %7.3f %7d\n",
        row.daemons, row.payload, row.with_framing, row.cpu_percent,
        row.age_median, row.age_p99, row.heard_share, row.false_suspicions,
        row.crash_seen, row.push_share, row.push_rounds);
  }
  const Row& first = rows.front();
  const Row& last = rows.back();
  const auto span = static_cast<double>(last.daemons - first.daemons);
  std::printf("slopes for each daemon more: %.2f B/s, %.6f %% of a core\n",
              (last.with_framing - first.with_framing) / span,
              (last.cpu_percent - first.cpu_percent) / span);
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
