// The store comes back from a copy some seconds old, and the operator's next
// change is among the first that it takes. Callers then see by which version of
// the manifest each daemon handles their requests.
#include <memory>
#include <string>
#include <vector>

#include "../support-2/plain_replica.h"
#include "../support-2/run.h"
#include "../support-2/store.h"

namespace review {
namespace {

constexpr int kDaemons = 2;
constexpr int kReplicasPerService = 3;
constexpr const char* kKeptKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* kLostKey = "anfqasnmgkcuyj8pjbvk";

/// The route `moved` goes to service `old-app` up to version 20, then to
/// `new-app`; the key `kLostKey` is in force up to version 20.
std::string Manifest(int version) {
  const bool is_last = version > 20;
  const auto route = [](const std::string& name, const std::string& service) {
    return R"({"Name":")" + name +
           R"(","Host":"ficu95.example","PathPrefix":"/)" + name +
           R"(/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,)" +
           R"("Priority":1,"Service":")" + service +
           R"(","MaxAttempts":2,"AllowAnonymous":false})";
  };
  std::string routes = route("booked", "old-app") + "," +
                       route("moved", is_last ? "new-app" : "old-app");
  if (version > 10) {
    routes += "," + route("added", "old-app");
  }
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes +
         R"(],"Services":[{"Name":"old-app","HealthPath":"/health",)"
         R"("MaxConnections":110,"Protocol":"h1","Tls":false},)"
         R"({"Name":"new-app","HealthPath":"/health","MaxConnections":110,)"
         R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":[")" +
         std::string(kKeptKey) + (is_last ? "" : std::string("\",\"") + kLostKey) +
         R"("],"Priority":1}]})";
}

class Script {
 public:
  Script(std::string root, std::string folder, const std::string& record)
      : root_(std::move(root)),
        folder_(std::move(folder)),
        record_(record),
        store_("127.0.0.1") {}

  int Run() {
    for (int i = 0; i < kReplicasPerService; ++i) {
      for (const std::string service : {"old-app", "new-app"}) {
        replicas_.push_back(std::make_unique<PlainReplica>(
            PlainReplica::Options{.id = "i-" + service + std::to_string(i),
                                  .service = service},
            store_, record_));
      }
    }
    Put(10);
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
        record_.Add("a daemon is not ready");
        return kCannotRun;
      }
    }
    SleepMs(6'000);
    store_.TakeCopy();
    record_.Add("the copy is taken at version " +
                std::to_string(store_.version()));
    SleepMs(800);
    Put(20);
    SleepMs(2'700);
    if (!IsServed("added", kLostKey)) {
      record_.Add("version 20 is not in force");
      return kCannotRun;
    }
    if (HasTrouble()) {
      store_.GoAway();
      record_.Add("the store goes away at version " +
                  std::to_string(store_.version()));
      SleepMs(1'000);
      store_.ComeBackFromCopy(
          {{"config", Manifest(20)}, {"config", Manifest(30)}});
      record_.Add("the store is back from the copy; the operator has written "
                  "versions 20 and 30; the store's version is " +
                  std::to_string(store_.version()));
    } else {
      SleepMs(1'000);
      Put(30);
    }
    return Judge();
  }

 private:
  void Put(int version) {
    store_.Write("op", "config", Manifest(version));
    record_.Add("the operator has written version " + std::to_string(version));
  }

  Message Send(const Daemon& daemon,
               const std::string& route,
               const std::string& key) {
    const Call call{.target = "/" + route + "/2f",
                    .id = NewId(),
                    .headers = "Api-Key: " + key + "\r\n"};
    Message answer = Ask(daemon.callers(), call);
    record_.Add(daemon.name() + " " + call.id + " /" + route + "/ key=" + key +
                " -> " + std::to_string(answer.status) + " " + answer.body);
    return answer;
  }

  bool IsServed(const std::string& route, const std::string& key) {
    bool is_served = true;
    for (const auto& daemon : daemons_) {
      is_served = is_served && Send(*daemon, route, key).status == 200;
    }
    return is_served;
  }

  /// Sends requests long after the last version was confirmed: `ContactMs` for
  /// the store to be stable, `StretchMaxMs`, `ConfigApplyMs` and 2 s more.
  int Judge() {
    SleepMs(12'000);
    int served = 0;
    int by_older = 0;
    constexpr int kRounds = 10;
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& daemon : daemons_) {
        const Message kept = Send(*daemon, "booked", kKeptKey);
        served += kept.status == 200 ? 1 : 0;
        const Message moved = Send(*daemon, "moved", kKeptKey);
        by_older +=
            moved.body.find("i-old-app") != std::string::npos ? 1 : 0;
        by_older += Send(*daemon, "booked", kLostKey).status == 200 ? 1 : 0;
      }
      SleepMs(1'000);
    }
    record_.Add("served as every version allows: " + std::to_string(served) +
                "; run as only an older version than 30 allows: " +
                std::to_string(by_older));
    if (served == 0) {
      return kCannotRun;
    }
    return by_older > 0 ? kBroken : kHeld;
  }

  std::string root_;
  std::string folder_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<PlainReplica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    return review::kCannotRun;
  }
  return review::Script(argv[1], argv[2], argv[3]).Run();
}
