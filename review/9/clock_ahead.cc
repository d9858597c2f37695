// The only replica of a service is restarted as planned, while the time of day
// of the daemons is ahead of its own. Callers then see whether the daemons use
// it again.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../support-2/booking.h"

namespace review {
namespace {

constexpr int kDaemons = 3;
/// How far the daemons' time of day is ahead of the replica's. The time of the
/// machine is left alone, so that the replica's is behind.
constexpr int kAheadMs = 2'400;
constexpr int kDrainMs = 2'000;

/// Up to version 10 there is the route `booked` to `old-app`; from version 20
/// on also the route `added` to `late-app`.
std::string Manifest(int version) {
  const auto route = [](const std::string& name, const std::string& service) {
    return R"({"Name":")" + name +
           R"(","Host":"ficu95.example","PathPrefix":"/)" + name +
           R"(/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,)"
           R"("Priority":1,"Service":")" +
           service + R"(","MaxAttempts":2,"AllowAnonymous":true})";
  };
  const bool is_last = version > 10;
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         route("booked", "old-app") +
         (is_last ? "," + route("added", "late-app") : "") +
         R"(],"Services":[{"Name":"old-app","HealthPath":"/health",)"
         R"("MaxConnections":110,"Protocol":"h1","Tls":false})" +
         (is_last ? R"(,{"Name":"late-app","HealthPath":"/health",)"
                    R"("MaxConnections":110,"Protocol":"h1","Tls":false})"
                  : "") +
         R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

/// A replica of `late-app` that leaves and starts again under its id.
class LateReplica {
 public:
  LateReplica(Store& store, Record& record, int behind_ms)
      : store_(store),
        record_(record),
        behind_ms_(behind_ms),
        born_ms_(TimeOfDayMs()),
        server_("127.0.0.1", [this](Channel& channel) { Handle(channel); }),
        beat_([this] { Beat(); }) {}
  ~LateReplica() {
    is_stopped_ = true;
    beat_.join();
    server_.Stop();
  }
  LateReplica(const LateReplica&) = delete;
  LateReplica& operator=(const LateReplica&) = delete;

  /// Reports `draining`, serves for `DrainMs` and a little longer, ends, and
  /// starts again.
  void Restart() {
    is_draining_ = true;
    Report();
    record_.Add("replica i-late0 has reported draining");
    constexpr int kLittleLongerMs = 50;
    SleepMs(kDrainMs + kLittleLongerMs);
    is_down_ = true;
    server_.SetAway(true);
    store_.Erase("servers", "i-late0");
    record_.Add("replica i-late0 has ended");
    constexpr int kStartMs = 200;
    SleepMs(kStartMs);
    born_ms_ = TimeOfDayMs();
    is_draining_ = false;
    server_.SetAway(false);
    is_down_ = false;
    Report();
    record_.Add("replica i-late0 has started again");
  }

 private:
  /// The replica's time of day.
  [[nodiscard]] std::int64_t TimeOfDayMs() const {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count() -
           behind_ms_;
  }

  void Report() {
    store_.Write("servers", "i-late0",
                 R"({"Service":"late-app","Address":")" + server_.address() +
                     R"(","Zone":"ibadan","Version":"v1","Slots":6,"State":")" +
                     (is_draining_ ? "draining" : "ready") +
                     R"(","ColdRemainingMs":0,"Sequence":)" +
                     std::to_string(++sequence_) + R"(,"born":)" +
                     std::to_string(born_ms_) + "}");
  }

  void Beat() {
    constexpr int kHeartbeatMs = 1'200;
    while (!is_stopped_) {
      if (!is_down_) {
        Report();
      }
      SleepMs(kHeartbeatMs);
    }
  }

  void Handle(Channel& channel) {
    const auto request = channel.Read(true, milliseconds(5'000));
    if (!request || is_down_) {
      return;
    }
    const std::string id = request->Header("x-attempt-id");
    record_.Add("replica i-late0 runs " + id);
    constexpr int kWorkMs = 60;
    SleepMs(kWorkMs);
    channel.Write(FormatResponse(
        200,
        "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\n" +
            (is_draining_ ? "Server-Leaving: 1\r\n" : ""),
        "done by i-late0"));
  }

  Store& store_;
  Record& record_;
  int behind_ms_;
  std::atomic<std::int64_t> born_ms_;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_down_{false};
  std::atomic<bool> is_stopped_{false};
  Server server_;
  std::thread beat_;
};

class Script {
 public:
  Script(std::string root, std::string folder, const std::string& record)
      : root_(std::move(root)),
        folder_(std::move(folder)),
        record_(record),
        store_("127.0.0.1"),
        old_app_({.id = "i-old0", .service = "old-app"}, store_, record_),
        late_app_(store_, record_, HasTrouble() ? kAheadMs : 0) {}

  int Run() {
    Put(10);
    if (!StartDaemons()) {
      return kCannotRun;
    }
    // Traffic starts 10 s after the machines do.
    SleepMs(10'000);
    Put(20);
    SleepMs(3'000);
    for (const auto& daemon : daemons_) {
      if (Send(*daemon, "added") != 200) {
        record_.Add("version 20 is not in force");
        return kCannotRun;
      }
    }
    // One request is at the replica when it reports that it is leaving.
    std::thread caller([this] { Send(*daemons_.front(), "added"); });
    constexpr int kUnderWayMs = 20;
    SleepMs(kUnderWayMs);
    late_app_.Restart();
    caller.join();
    SleepMs(4'000);
    return Judge();
  }

 private:
  void Put(int version) {
    store_.Write("op", "config", Manifest(version));
    record_.Add("the operator has written version " + std::to_string(version));
  }

  bool StartDaemons() {
    for (int i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(
          Daemon::Options{.root = root_,
                          .folder = folder_,
                          .name = "front-" + std::to_string(i + 1),
                          .store = store_.address()}));
      daemons_.back()->Start();
    }
    for (const auto& daemon : daemons_) {
      if (!daemon->AwaitReady(milliseconds(10'000))) {
        record_.Add(daemon->name() + " is not ready");
        return false;
      }
    }
    return true;
  }

  unsigned Send(const Daemon& daemon, const std::string& route) {
    const Call call{.target = "/" + route + "/2f", .id = NewId()};
    const Message answer = Ask(daemon.callers(), call);
    record_.Add(daemon.name() + " " + call.id + " /" + route + "/ -> " +
                std::to_string(answer.status) + " " + answer.body);
    return answer.status;
  }

  int Judge() {
    int first = 0;
    int later = 0;
    constexpr int kRounds = 10;
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& daemon : daemons_) {
        first += Send(*daemon, "booked") == 200 ? 1 : 0;
        later += Send(*daemon, "added") == 200 ? 1 : 0;
      }
      SleepMs(1'000);
    }
    record_.Add(
        "of " + std::to_string(kRounds * kDaemons) +
        " requests each, served on the first route: " + std::to_string(first) +
        "; on the route that was added: " + std::to_string(later));
    if (first == 0) {
      return kCannotRun;
    }
    constexpr int kPart = 4;
    return later * kPart < first ? kBroken : kHeld;
  }

  std::string root_;
  std::string folder_;
  Record record_;
  Store store_;
  PlainReplica old_app_;
  LateReplica late_app_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  return argc == kArguments ? review::Script(argv[1], argv[2], argv[3]).Run()
                            : review::kCannotRun;
}
