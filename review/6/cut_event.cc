// A replica whose answers have neither a length nor chunks crashes while it
// streams, in the middle of an event. Callers then see whether what they get
// looks complete.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../support-2/streaming.h"

namespace review {
namespace {

constexpr int kCallers = 200;

int Run(const std::string& root,
        const std::string& folder,
        const std::string& record_path) {
  Streaming streaming(root, folder, record_path);
  std::atomic<bool> has_crashed{false};
  std::atomic<int> cut{0};
  // Streams an answer that ends with its channel.
  const auto stream = [&](PlainReplica& replica, const Message& request,
                          Channel& channel) {
    const bool crashes = replica.id() == "i-app0";
    if (crashes && has_crashed) {
      return true;
    }
    replica.NoteRun(request);
    const std::string id = request.Header("x-attempt-id");
    channel.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Attempt-Id: " +
        id + "\r\nX-Response-Seal: seal-" + id + "\r\n\r\n");
    int next = EngineReplica::FirstEvent(request);
    for (std::string event = NextEvent(request, next); !event.empty();
         event = NextEvent(request, ++next)) {
      if (crashes && has_crashed) {
        ++cut;
        channel.Write(event.substr(0, event.size() / 2));
        streaming.record.Add("replica i-app0 ends " + id +
                             " in the middle of event " + std::to_string(next));
        return true;
      }
      if (channel.IsClosedByPeer() || !channel.Write(event)) {
        return true;
      }
    }
    return true;
  };
  if (!streaming.Start(stream)) {
    return kCannotRun;
  }
  std::vector<std::unique_ptr<StreamCaller>> callers;
  std::vector<std::thread> threads;
  callers.reserve(kCallers);
  threads.reserve(kCallers);
  std::atomic<int> short_of_events{0};
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<StreamCaller>(streaming.record, i));
    threads.emplace_back([&, i, caller = callers.back().get()] {
      const bool is_complete = caller->Ask(streaming.daemons[i % 2]->callers());
      short_of_events += is_complete && !caller->HasAll() ? 1 : 0;
    });
  }
  SleepMs(400);
  if (HasTrouble()) {
    has_crashed = true;
    streaming.apps.front()->SetHeartbeats(false);
    streaming.record.Add("replica i-app0 crashes");
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int whole = 0;
  for (const auto& caller : callers) {
    whole += caller->HasAll() ? 1 : 0;
  }
  streaming.record.Add("streams that are whole: " + std::to_string(whole) +
                       "; cut by the replica: " + std::to_string(cut) +
                       "; that look complete and lack events: " +
                       std::to_string(short_of_events) + "; of " +
                       std::to_string(kCallers));
  if (whole == 0 || (HasTrouble() && cut == 0)) {
    return kCannotRun;
  }
  return short_of_events > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  return argc == kArguments ? review::Run(argv[1], argv[2], argv[3])
                            : review::kCannotRun;
}
