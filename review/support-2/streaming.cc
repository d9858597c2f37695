#include "streaming.h"

#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
constexpr int kReplicasPerService = 3;
constexpr int kDaemons = 2;
/// A requester abandons a stream after a gap of two seconds.
constexpr milliseconds kPatience{2'000};

std::string Manifest() {
  return R"({"Version":7,"Routes":[{"Name":"r-2yhvz3p",)"
         R"("Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"stream",)"
         R"("TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,)"
         R"("TrafficSplit":[{"Service":"huvo11a","Weight":90},)"
         R"({"Service":"wuno96b","Weight":10}],"MaxAttempts":2,)"
         R"("AllowAnonymous":false,"SessionAffinity":true,)"
         R"("StreamResume":true,"GapTargetMs":200}],"Services":[)" +
         ModelService("huvo11a") +
         R"(,{"Name":"wuno96b","HealthPath":"/health","MaxConnections":110,)"
         R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
         R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":[")" +
         std::string(kKey) + R"("],"Priority":1}]})";
}

}  // namespace

std::string NextEvent(const Message& request, int id) {
  if (id > kEvents) {
    return {};
  }
  SleepMs(kPauseMs);
  return EngineReplica::Event(request, id);
}

StreamCaller::StreamCaller(Record& record, int number)
    : record_(record), target_("/lohu930/" + std::to_string(number)) {}

bool StreamCaller::Ask(const std::string& address) {
  Call call{.target = target_,
            .id = NewId(),
            .deadline_ms = 20'000,
            .headers = "Api-Key: " + std::string(kKey) +
                       "\r\nX-Model-Name: daka510000\r\n"
                       "X-Token-Counts: 1460,80\r\n"
                       "X-Prompt-Prefix: 5c1e07a2:800," +
                       NewId() + ":660\r\n"};
  if (!events_.empty()) {
    call.headers += "Last-Event-Id: " + std::to_string(events_.back()) + "\r\n";
  }
  const std::size_t before = events_.size();
  const auto channel = Connect(address);
  bool is_complete = false;
  unsigned status = 0;
  if (channel && channel->Write(FormatCall(call))) {
    const auto head = channel->ReadHead(false, kPatience);
    status = head ? head->status : 0;
    const std::string length = head ? head->Header("content-length") : "";
    is_complete =
        status == 200 && (length.empty() ? ReadChunkedEvents(*channel)
                                         : ReadEvents(*channel, length));
  }
  std::string ids;
  for (std::size_t i = before; i < events_.size(); ++i) {
    ids += " " + std::to_string(events_[i]);
  }
  record_.Add("caller of " + target_ + " asked with " + call.id +
              " after event " +
              std::to_string(before == 0 ? 0 : events_[before - 1]) + " -> " +
              std::to_string(status) +
              (is_complete ? " complete:" : " broken off:") + ids);
  return is_complete;
}

bool StreamCaller::IsOutOfOrder() const {
  for (std::size_t i = 0; i < events_.size(); ++i) {
    if (events_[i] != static_cast<int>(i) + 1) {
      return true;
    }
  }
  return false;
}

bool StreamCaller::HasAll() const {
  return events_.size() == kEvents && !IsOutOfOrder();
}

bool StreamCaller::ReadEvents(Channel& channel, const std::string& length) {
  std::string text;
  const std::size_t size = std::stoul(length);
  while (text.size() < size) {
    const std::string more = channel.ReadSome(kPatience);
    if (more.empty()) {
      return false;
    }
    text += more;
  }
  TakeEvents(text);
  return true;
}

bool StreamCaller::ReadChunkedEvents(Channel& channel) {
  std::string bytes;
  std::string text;
  for (;;) {
    constexpr int kHexadecimal = 16;
    const std::size_t end = bytes.find("\r\n");
    const std::size_t size =
        end == std::string::npos
            ? 0
            : std::strtoul(bytes.c_str(), nullptr, kHexadecimal);
    if (end != std::string::npos && size == 0) {
      return true;
    }
    if (end != std::string::npos && bytes.size() >= end + 2 + size + 2) {
      text += bytes.substr(end + 2, size);
      bytes.erase(0, end + 2 + size + 2);
      TakeEvents(text);
      continue;
    }
    const std::string more = channel.ReadSome(kPatience);
    if (more.empty()) {
      return false;
    }
    bytes += more;
  }
}

void StreamCaller::TakeEvents(std::string& text) {
  for (std::size_t end = text.find("\n\n"); end != std::string::npos;
       end = text.find("\n\n")) {
    constexpr std::size_t kIdFieldSize = 4;
    events_.push_back(std::atoi(text.c_str() + kIdFieldSize));
    text.erase(0, end + 2);
  }
}

Streaming::Streaming(std::string root,
                     std::string folder,
                     const std::string& record_path)
    : record(record_path),
      store("127.0.0.1"),
      root_(std::move(root)),
      folder_(std::move(folder)) {}

bool Streaming::Start(
    const std::function<bool(PlainReplica&, const Message&, Channel&)>&
        handler) {
  store.Write("op", "config", Manifest());
  for (int i = 0; i < kReplicasPerService; ++i) {
    models.push_back(std::make_unique<EngineReplica>(
        EngineReplica::Options{.id = "i-model" + std::to_string(i),
                               .service = "huvo11a",
                               .events = kEvents,
                               .pause_ms = kPauseMs},
        store, record));
    apps.push_back(std::make_unique<PlainReplica>(
        PlainReplica::Options{.id = "i-app" + std::to_string(i),
                              .service = "wuno96b"},
        store, record));
    PlainReplica& app = *apps.back();
    app.SetHandler([&app, handler](const Message& request, Channel& channel) {
      return handler(app, request, channel);
    });
  }
  for (int i = 0; i < kDaemons; ++i) {
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
  // Traffic starts 10 s after the machines do.
  SleepMs(10'000);
  return true;
}

}  // namespace review
