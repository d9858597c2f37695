#include "plain_replica.h"

#include <utility>

namespace review {
namespace {

constexpr int kHeartbeatMs = 1'200;
/// Delay after a report that the store did not take.
constexpr int kRetryMs = 20;

std::uint64_t WallClockMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

PlainReplica::PlainReplica(Options options, Store& store, Record& record)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      born_(WallClockMs()),
      server_(options_.ip, [this](Channel& channel) { Handle(channel); }),
      beat_([this] { Beat(); }) {}

PlainReplica::~PlainReplica() {
  is_stopped_ = true;
  beat_.join();
  server_.Stop();
}

void PlainReplica::Beat() {
  std::uint64_t sequence = 0;
  while (!is_stopped_) {
    const std::string entry =
        R"({"Service":")" + options_.service + R"(","Address":")" +
        server_.address() + R"(","Zone":")" + options_.zone +
        R"(","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,)" +
        R"("Sequence":)" + std::to_string(++sequence) + R"(,"born":)" +
        std::to_string(born_) + "}";
    const bool is_written =
        !sends_heartbeats_ || store_.Write("servers", options_.id, entry);
    for (int ms = 0;
         ms < (is_written ? kHeartbeatMs : kRetryMs) && !is_stopped_;
         ms += kRetryMs) {
      SleepMs(kRetryMs);
      if (is_written && store_.is_away()) {
        // What it wrote may be lost: it writes again as soon as it can.
        break;
      }
    }
  }
}

int PlainReplica::Runs(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

void PlainReplica::NoteRun(const Message& request) {
  const std::string id = request.Header("x-attempt-id");
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  record_.Add("replica " + options_.id + " of " + options_.service + " runs " +
              id + " " + request.method + " " + request.target +
              " tenant=" + request.Header("x-tenant-name"));
}

void PlainReplica::Handle(Channel& channel) {
  const auto request = channel.Read(true, milliseconds(5'000));
  if (!request) {
    return;
  }
  const std::string expected = request->Header("x-expect-replica");
  if (!expected.empty() && expected != options_.id) {
    channel.Write(FormatResponse(
        421, "X-Not-Executed: 1\r\nX-Replica-Id: " + options_.id + "\r\n", ""));
    return;
  }
  if (handler_ && handler_(*request, channel)) {
    return;
  }
  NoteRun(*request);
  SleepMs(options_.work_ms);
  channel.Write(FormatResponse(
      200,
      "X-Attempt-Id: " + request->Header("x-attempt-id") +
          "\r\nX-Response-Seal: seal-" + request->Header("x-attempt-id") +
          "\r\nX-Replica-Load: 1,0,6\r\n",
      "done by " + options_.id));
}

}  // namespace review
