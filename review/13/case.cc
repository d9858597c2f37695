// Another writer puts an entry into the list of replicas: fields are missing
// or of another type. At its address, a server of something else knows none of
// the paths. Counts the proper requests that are ended with a 4xx which no
// replica has given.
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
"MaxAttempts":2,"AllowAnonymous":true},
{"Name":"r-book","Host":"ficu95.example","PathPrefix":"/book/","Kind":"unsafe",
"TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"app",
"MaxAttempts":2,"AllowAnonymous":true}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110,
"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]})";

constexpr int kRequests = 600;
constexpr int kEntryBeforeRequest = 60;
constexpr Ms kInterval(30);
/// DENIED: more than 5 + one in 500 of all requests.
constexpr int kMostDenied = 5 + kRequests / 500;

class Case {
 public:
  explicit Case(Record& record)
      : record_(record),
        deployment_(3, kManifest),
        service_("app", deployment_.store(), record),
        other_server_(deployment_.Ip(150)) {
    service_.on_arrival = [this](const Request& request,
                                 const std::string& replica) {
      record_.Line("request " + request.Get("X-Attempt-Id") + " reaches " +
                   replica);
    };
    for (int i = 0; i < 3; ++i) {
      replicas_.push_back(std::make_unique<PlainReplica>(
          service_, "i-" + std::to_string(i),
          std::string(1, static_cast<char>('a' + i)), deployment_.Ip(100 + i)));
    }
    other_server_.Start([this](Socket& socket) { ServeOther(socket); });
  }

  int Run() {
    if (!deployment_.Start()) {
      record_.Line("the daemons do not become ready");
      return kExitCannotRun;
    }
    std::this_thread::sleep_for(Ms(3'500));
    for (int i = 0; i < kRequests; ++i) {
      if (i == kEntryBeforeRequest && IsTrouble()) {
        WriteEntry();
      }
      clients_.emplace_back([this, i] { Send(i); });
      std::this_thread::sleep_for(kInterval);
    }
    for (std::thread& client : clients_) {
      client.join();
    }
    record_.Line("served " + std::to_string(served_.load()) + " of " +
                 std::to_string(kRequests) + ", ended with a 4xx " +
                 std::to_string(denied_.load()));
    if (served_ < kEntryBeforeRequest / 2) {
      return kExitCannotRun;
    }
    return denied_ > kMostDenied ? kExitBroken : kExitHeld;
  }

 private:
  /// `Version`, `ColdRemainingMs` and `born` are missing, `Slots` is a text.
  void WriteEntry() {
    const json::object entry = {{"Service", service_.name},
                                {"Address", other_server_.address()},
                                {"Zone", "a"},
                                {"State", "ready"},
                                {"Slots", "6"},
                                {"Sequence", 1}};
    deployment_.store().Set("servers", "i-other", json::serialize(entry));
    record_.Line("another writer puts servers/i-other: " +
                 json::serialize(entry));
  }

  void ServeOther(Socket& socket) {
    const auto request = ReadRequest(socket, Ms(10'000));
    if (request) {
      record_.Line("request " + request->Get("X-Attempt-Id") +
                   " reaches the server of the other writer");
      (void)socket.Write(FormatResponse(404, {}, "not found"));
    }
  }

  void Send(int number) {
    const bool is_unsafe = number % 3 != 0;
    const std::string id = "a" + std::to_string(10'000 + number);
    const auto daemon = static_cast<std::size_t>(number) % deployment_.size();
    const Response response =
        Fetch(deployment_.daemon(daemon).front(), is_unsafe ? "POST" : "GET",
              (is_unsafe ? "/book/" : "/look/") + std::to_string(number),
              {{"Host", "ficu95.example"},
               {"X-Attempt-Id", id},
               {"X-Deadline-Ms", "3000"}},
              is_unsafe ? "book " + id : "", Ms(4'000));
    const bool is_sealed = response.fields.contains("x-response-seal");
    served_ += response.status == 200 && is_sealed ? 1 : 0;
    const bool is_denied = response.status >= 300 && response.status < 500 &&
                           response.status != 408 && response.status != 421 &&
                           response.status != 429;
    denied_ += is_denied ? 1 : 0;
    record_.Line("answer to " + id + ": " + std::to_string(response.status) +
                 " " + response.error + response.body);
  }

  Record& record_;
  Deployment deployment_;
  PlainService service_;
  Server other_server_;
  std::vector<std::unique_ptr<PlainReplica>> replicas_;
  std::vector<std::thread> clients_;
  std::atomic<int> served_{0};
  std::atomic<int> denied_{0};
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
