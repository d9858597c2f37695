#include "booking.h"

#include <utility>

namespace review {
namespace {

constexpr int kReplicasPerService = 3;

std::string Route(const std::string& name, const std::string& service) {
  return R"({"Name":")" + name +
         R"(","Host":"ficu95.example","PathPrefix":"/)" + name +
         R"(/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,)" +
         R"("Priority":1,"Service":")" + service +
         R"(","MaxAttempts":2,"AllowAnonymous":false})";
}

}  // namespace

std::string BookingManifest(int version) {
  const bool is_last = version > 20;
  std::string routes = Route("booked", "old-app") + "," +
                       Route("moved", is_last ? "new-app" : "old-app");
  if (version > 10) {
    routes += "," + Route("added", "old-app");
  }
  std::string keys = "\"" + std::string(kKeptKey) + "\"";
  if (!is_last) {
    keys += ",\"" + std::string(kLostKey) + "\"";
  }
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes +
         R"(],"Services":[{"Name":"old-app","HealthPath":"/health",)"
         R"("MaxConnections":110,"Protocol":"h1","Tls":false},)"
         R"({"Name":"new-app","HealthPath":"/health","MaxConnections":110,)"
         R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":[)" +
         keys + R"(],"Priority":1}]})";
}

Booking::Booking(std::string root,
                 std::string folder,
                 const std::string& record_path)
    : record(record_path),
      store("127.0.0.1"),
      root_(std::move(root)),
      folder_(std::move(folder)) {}

bool Booking::Start(int daemon_count) {
  for (int i = 0; i < kReplicasPerService; ++i) {
    for (const std::string service : {"old-app", "new-app"}) {
      replicas.push_back(std::make_unique<PlainReplica>(
          PlainReplica::Options{.id = "i-" + service + std::to_string(i),
                                .service = service,
                                .work_ms = 60},
          store, record));
    }
  }
  Put(10);
  for (int i = 0; i < daemon_count; ++i) {
    daemons.push_back(std::make_unique<Daemon>(
        Daemon::Options{.root = root_,
                        .folder = folder_,
                        .name = "front-" + std::to_string(i + 1),
                        .store = store.address()}));
    daemons.back()->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady(milliseconds(10'000))) {
      record.Add(daemon->name() + " is not ready");
      return false;
    }
  }
  return true;
}

void Booking::Put(int version) {
  store.Write("op", "config", BookingManifest(version));
  record.Add("the operator has written version " + std::to_string(version));
}

Message Booking::Send(const Daemon& daemon,
                      const std::string& route,
                      const std::string& key) {
  const Call call{.target = "/" + route + "/2f",
                  .id = NewId(),
                  .headers = "Api-Key: " + key + "\r\n"};
  Message answer = Ask(daemon.callers(), call);
  record.Add(daemon.name() + " " + call.id + " /" + route + "/ key=" + key +
             " -> " + std::to_string(answer.status) + " " + answer.body);
  return answer;
}

bool Booking::IsServed(const std::string& route, const std::string& key) {
  bool is_served = true;
  for (const auto& daemon : daemons) {
    is_served = Send(*daemon, route, key).status == 200 && is_served;
  }
  return is_served;
}

void Booking::Round() {
  for (const auto& daemon : daemons) {
    served += Send(*daemon, "booked", kKeptKey).status == 200 ? 1 : 0;
    const Message moved = Send(*daemon, "moved", kKeptKey);
    by_older += moved.body.find("i-old-app") != std::string::npos ? 1 : 0;
    by_older += Send(*daemon, "booked", kLostKey).status == 200 ? 1 : 0;
  }
}

}  // namespace review
