// A daemon is killed while it forwards streams. Their callers resume them at
// another daemon, after the last event that they have, on a route that is split
// over two services.
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../support-2/streaming.h"

namespace review {
namespace {

constexpr int kCallers = 100;

/// Streams an answer from the event that the request asks for, in chunks.
bool Stream(PlainReplica& replica, const Message& request, Channel& channel) {
  replica.NoteRun(request);
  const std::string id = request.Header("x-attempt-id");
  channel.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Attempt-Id: " +
      id + "\r\nX-Response-Seal: seal-" + id +
      "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
  int next = EngineReplica::FirstEvent(request);
  for (std::string event = NextEvent(request, next); !event.empty();
       event = NextEvent(request, ++next)) {
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (channel.IsClosedByPeer() || !channel.Write(size + event + "\r\n")) {
      return true;
    }
  }
  channel.Write("0\r\n\r\n");
  return true;
}

int Run(const std::string& root,
        const std::string& folder,
        const std::string& record_path) {
  Streaming streaming(root, folder, record_path);
  if (!streaming.Start(Stream)) {
    return kCannotRun;
  }
  std::vector<std::unique_ptr<StreamCaller>> callers;
  std::vector<std::thread> threads;
  callers.reserve(kCallers);
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<StreamCaller>(streaming.record, i));
    threads.emplace_back([&, caller = callers.back().get()] {
      constexpr int kTries = 4;
      bool is_complete = caller->Ask(streaming.daemons[0]->callers());
      for (int i = 0; i < kTries && !is_complete; ++i) {
        SleepMs(300);
        is_complete = caller->Ask(streaming.daemons[1]->callers());
      }
    });
  }
  SleepMs(700);
  if (HasTrouble()) {
    streaming.daemons[0]->Kill();
    streaming.record.Add("front-1 is killed");
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int whole = 0;
  int out_of_order = 0;
  for (const auto& caller : callers) {
    whole += caller->HasAll() ? 1 : 0;
    out_of_order += caller->IsOutOfOrder() ? 1 : 0;
  }
  streaming.record.Add("streams that are whole: " + std::to_string(whole) +
                       "; in which a piece is missing or comes twice: " +
                       std::to_string(out_of_order) + "; of " +
                       std::to_string(kCallers));
  if (whole == 0) {
    return kCannotRun;
  }
  return out_of_order > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  return argc == kArguments ? review::Run(argv[1], argv[2], argv[3])
                            : review::kCannotRun;
}
