// A request that crashes each replica that begins to run it comes again, at
// any machine. In between, all processes of the system are killed at once.
// Counts its retries that reach replicas from machines in touch.
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "../support-3/deployment.h"
#include "../support-3/plain_replica.h"

namespace review {
namespace {

constexpr const char* kManifest = R"({"Version":7,"Routes":[
{"Name":"r-look","Host":"ficu95.example","PathPrefix":"/look/","Kind":"safe",
"TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"app",
"MaxAttempts":2,"AllowAnonymous":true}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110,
"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";

constexpr double kContactS = 3.0;
constexpr int kMostRetries = 3;
constexpr std::size_t kCountedCrashes = 3;
constexpr const char* kBadTarget = "/look/crashing";
/// The request comes at all machines, one after the other, each so often.
constexpr double kIntervalS = 5;
constexpr int kRounds = 6;
constexpr int kKillAfterRound = 2;

class Case {
 public:
  explicit Case(Record& record)
      : record_(record),
        deployment_(3, kManifest),
        service_("app", deployment_.store(), record) {
    service_.on_arrival = [this](const Request& request,
                                 const std::string& replica) {
      OnArrival(request, replica);
    };
    service_.crashes = [this](const Request& request) {
      return OnRun(request);
    };
    for (int i = 0; i < 3; ++i) {
      replicas_.push_back(std::make_unique<PlainReplica>(
          service_, "i-" + std::to_string(i),
          std::string(1, static_cast<char>('a' + i)), deployment_.Ip(100 + i)));
    }
  }

  int Run() {
    if (!deployment_.Start()) {
      record_.Line("the daemons do not become ready");
      return kExitCannotRun;
    }
    in_touch_from_ = record_.Seconds() + kContactS;
    std::this_thread::sleep_for(Ms(4'000));
    if (Send("/look/sound", 0).status != 200) {
      record_.Line("the deployment does not serve");
      return kExitCannotRun;
    }
    const double begin = record_.Seconds();
    for (int round = 0; round < kRounds; ++round) {
      std::this_thread::sleep_for(std::chrono::duration<double>(
          begin + round * kIntervalS - record_.Seconds()));
      SendRound();
      if (round + 1 == kKillAfterRound && IsTrouble() && !KillAll()) {
        return kExitCannotRun;
      }
    }
    record_.Line("crashes " + std::to_string(crashes_.size()) +
                 ", retries from machines in touch later than ContactMs after "
                 "the third: " +
                 std::to_string(late_retries_));
    return late_retries_ > kMostRetries ? kExitBroken : kExitHeld;
  }

 private:
  /// Kills all daemons at the same moment, and starts them again.
  bool KillAll() {
    record_.Line("all daemons are killed");
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      deployment_.daemon(i).Signal(SIGKILL);
    }
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      deployment_.daemon(i).Kill();
    }
    std::this_thread::sleep_for(Ms(300));
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      deployment_.daemon(i).Start();
    }
    const double started_at = record_.Seconds();
    const bool are_ready = deployment_.WaitUntilReady();
    const std::lock_guard lock(mutex_);
    in_touch_from_ = started_at + kContactS;
    record_.Line(are_ready ? "all daemons are ready"
                           : "the daemons do not become ready");
    return are_ready;
  }

  void OnArrival(const Request& request, const std::string& replica) {
    if (request.target != kBadTarget) {
      return;
    }
    const std::lock_guard lock(mutex_);
    const double now = record_.Seconds();
    const bool is_late = crashes_.size() >= kCountedCrashes &&
                         now > crashes_[kCountedCrashes - 1] + kContactS &&
                         now >= in_touch_from_;
    late_retries_ += is_late ? 1 : 0;
    record_.Line("request " + request.Get("X-Attempt-Id") + " reaches " +
                 replica + (is_late ? ", counted" : ""));
  }

  bool OnRun(const Request& request) {
    if (request.target != kBadTarget) {
      return false;
    }
    const std::lock_guard lock(mutex_);
    crashes_.push_back(record_.Seconds());
    return true;
  }

  Response Send(const std::string& target, std::size_t daemon) {
    const std::string id = "a" + std::to_string(10'000 + ++sent_);
    Response response = Fetch(deployment_.daemon(daemon).front(), "GET", target,
                              {{"Host", "ficu95.example"},
                               {"X-Attempt-Id", id},
                               {"X-Deadline-Ms", "3000"}},
                              "", Ms(4'000));
    record_.Line("answer to " + id + " from " +
                 deployment_.daemon(daemon).name() + ": " +
                 std::to_string(response.status) + " " + response.error +
                 response.body);
    return response;
  }

  /// Sends the request to each daemon, 50 ms after the one before.
  void SendRound() {
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      clients.emplace_back([this, i] { (void)Send(kBadTarget, i); });
      std::this_thread::sleep_for(Ms(50));
    }
    for (std::thread& client : clients) {
      client.join();
    }
  }

  Record& record_;
  Deployment deployment_;
  PlainService service_;
  std::vector<std::unique_ptr<PlainReplica>> replicas_;
  std::mutex mutex_;
  std::vector<double> crashes_;
  double in_touch_from_ = 0;
  int late_retries_ = 0;
  std::atomic<int> sent_{0};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Record record(argc > 1 ? argv[1] : "record.txt");
  try {
    return review::Case(record).Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return review::kExitCannotRun;
  }
}
