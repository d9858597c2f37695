// The open channels to the store go silent for good while new ones work. Right
// after that a replica that never reports `draining` withdraws its entry and
// goes on serving for a while. Requesters are quiet until the machines are in
// touch again. Counts the requests that then reach the replica too late.
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
constexpr double kDrainS = 2.0;
/// How long the replica serves after its entry was removed.
constexpr Ms kServesFor(9'000);
/// Between two requests to each daemon.
constexpr Ms kInterval(40);
/// How long requesters are quiet after the channels went silent.
constexpr double kQuietS = kContactS + 0.05;
constexpr double kNever = 1e9;

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
    std::this_thread::sleep_for(Ms(4'000));
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      clients.emplace_back([this, i] { SendRegularly(i); });
    }
    std::this_thread::sleep_for(Ms(3'000));
    quiet_from_ = record_.Seconds();
    std::this_thread::sleep_for(Ms(500));
    in_touch_from_ = record_.Seconds() + kContactS;
    quiet_until_ = record_.Seconds() + kQuietS;
    if (IsTrouble()) {
      record_.Line("the open channels to the store go silent");
      deployment_.store().SilenceOpenConnections();
    }
    std::this_thread::sleep_for(Ms(50));
    replicas_.front()->Withdraw();
    withdrawn_at_ = record_.Seconds();
    std::this_thread::sleep_for(kServesFor);
    is_ending_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    record_.Line("served " + std::to_string(served_.load()) + " of " +
                 std::to_string(sent_.load()) + ", at " +
                 replicas_.front()->id() + " before " +
                 std::to_string(before_.load()) + ", too late " +
                 std::to_string(too_late_.load()));
    if (before_ == 0 || served_ < sent_ / 2) {
      return kExitCannotRun;
    }
    return too_late_ > 0 ? kExitBroken : kExitHeld;
  }

 private:
  /// `X-Sent-At` is the time at which the requester sent the request.
  void OnArrival(const Request& request, const std::string& replica) {
    if (replica != replicas_.front()->id()) {
      return;
    }
    const double now = record_.Seconds();
    const double sent_at = std::stod(request.Get("X-Sent-At"));
    before_ += now < withdrawn_at_ ? 1 : 0;
    const bool is_too_late =
        now > withdrawn_at_ + kDrainS && sent_at >= in_touch_from_;
    too_late_ += is_too_late ? 1 : 0;
    record_.Line("request " + request.Get("X-Attempt-Id") + " reaches " +
                 replica + (is_too_late ? ", too late" : ""));
  }

  void SendRegularly(std::size_t daemon) {
    std::vector<std::thread> clients;
    while (!is_ending_) {
      const double now = record_.Seconds();
      if (now >= quiet_from_ && now < quiet_until_) {
        std::this_thread::sleep_for(Ms(5));
        continue;
      }
      clients.emplace_back([this, daemon] {
        const std::string id = "a" + std::to_string(10'000 + ++sent_);
        const Response response =
            Fetch(deployment_.daemon(daemon).front(), "GET", "/look/" + id,
                  {{"Host", "ficu95.example"},
                   {"X-Attempt-Id", id},
                   {"X-Sent-At", std::to_string(record_.Seconds())},
                   {"X-Deadline-Ms", "3000"}},
                  "", Ms(4'000));
        served_ += response.status == 200 ? 1 : 0;
        if (response.status != 200) {
          record_.Line("answer to " + id + ": " +
                       std::to_string(response.status) + " " + response.error +
                       response.body);
        }
      });
      std::this_thread::sleep_for(kInterval);
    }
    for (std::thread& client : clients) {
      client.join();
    }
  }

  Record& record_;
  Deployment deployment_;
  PlainService service_;
  std::vector<std::unique_ptr<PlainReplica>> replicas_;
  /// Times in which no requests are sent.
  std::atomic<double> quiet_from_{kNever};
  std::atomic<double> quiet_until_{kNever};
  std::atomic<double> in_touch_from_{0};
  std::atomic<double> withdrawn_at_{kNever};
  std::atomic<bool> is_ending_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::atomic<int> before_{0};
  std::atomic<int> too_late_{0};
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
