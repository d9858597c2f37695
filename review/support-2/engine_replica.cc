#include "engine_replica.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

constexpr int kHeartbeatMs = 1'200;
constexpr int kTickMs = 20;

std::uint64_t WallClockMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

std::string ModelService(const std::string& name) {
  return R"({"Name":")" + name +
         R"(","HealthPath":"/health","MaxConnections":978,"Protocol":"h1",)"
         R"("Tls":false,"Engine":{"Slots":192,"KvCapacity":100000,)"
         R"("KvTokenBytes":918000,"LinkMbps":400000.0,"Stride":3,"Models":)"
         R"([{"Name":"daka510000","pace":1.0,"LoadS":1.0,"WarmS":1.0}],)"
         R"("step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,)"
         R"("read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,)"
         R"("report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":5,)"
         R"("delays":[],"usual":{"prompt":774,"answer":203},"Layers":)" +
         std::to_string(kLayers) +
         R"(,"LayerMb":1750.0,"ActivationBytes":45900,"PipeMbps":18000.0,)"
         R"("Kinds":[{"Name":"a100","Mb":72000.0,"pace":2.4,)"
         R"("ReadFactor":3.2}]}})";
}

std::string EventData(const std::string& target, int id) {
  unsigned value = 2'166'136'261U;
  for (const char c : target + "/" + std::to_string(id)) {
    value = (value ^ static_cast<unsigned char>(c)) * 16'777'619U;
  }
  return "token-" + std::to_string(value);
}

std::string EngineReplica::Event(const Message& request, int id) {
  return "id: " + std::to_string(id) +
         "\ndata: " + EventData(request.target, id) + "\n\n";
}

int EngineReplica::FirstEvent(const Message& request) {
  const std::string last = request.Header("last-event-id");
  return last.empty() ? 1 : std::atoi(last.c_str()) + 1;
}

EngineReplica::EngineReplica(Options options, Store& store, Record& record)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      born_(WallClockMs()),
      server_(options_.ip, [this](Channel& channel) { Handle(channel); }),
      beat_([this] { Beat(); }) {}

EngineReplica::~EngineReplica() {
  is_stopped_ = true;
  beat_.join();
  server_.Stop();
}

std::string EngineReplica::Entry() {
  const std::lock_guard lock(mutex_);
  FinishLoad();
  json::object entry{{"Service", options_.service},
                     {"Address", server_.address()},
                     {"Zone", options_.zone},
                     {"Version", "v1"},
                     {"Slots", 192},
                     {"State", is_leaving_ ? "draining" : "ready"},
                     {"ColdRemainingMs", 0},
                     {"Stage", "unified"},
                     {"Kind", options_.kind},
                     {"Sequence", ++heartbeats_},
                     {"born", born_}};
  if (to_ > from_) {
    entry["Layers"] =
        json::object{{"From", from_}, {"To", to_}, {"Version", 1}};
  }
  return json::serialize(entry);
}

void EngineReplica::Beat() {
  while (!is_stopped_) {
    const bool is_written = is_down_ || !sends_heartbeats_ ||
                            store_.Write("servers", options_.id, Entry());
    int last_to = 0;
    {
      const std::lock_guard lock(mutex_);
      last_to = to_;
    }
    for (int ms = 0; ms < (is_written ? kHeartbeatMs : kTickMs) && !is_stopped_;
         ms += kTickMs) {
      SleepMs(kTickMs);
      const std::lock_guard lock(mutex_);
      FinishLoad();
      if (last_to != to_ || (is_written && store_.is_away())) {
        break;
      }
    }
  }
}

void EngineReplica::FinishLoad() {
  if (is_loading_ && Clock::now() >= loaded_at_) {
    is_loading_ = false;
    from_ = next_from_;
    to_ = next_to_;
  }
}

bool EngineReplica::HoldsAll() {
  const std::lock_guard lock(mutex_);
  FinishLoad();
  return from_ == 0 && to_ == kLayers;
}

void EngineReplica::Crash(milliseconds down) {
  is_down_ = true;
  server_.SetAway(true);
  std::this_thread::sleep_for(down);
  {
    const std::lock_guard lock(mutex_);
    born_ = WallClockMs();
    sequence_ = 0;
    fence_ = 0;
    from_ = 0;
    to_ = 0;
    is_loading_ = false;
  }
  server_.SetAway(false);
  is_down_ = false;
}

void EngineReplica::Leave() {
  {
    const std::lock_guard lock(mutex_);
    is_leaving_ = true;
  }
  store_.Write("servers", options_.id, Entry());
}

int EngineReplica::Runs(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

void EngineReplica::NoteRun(const Message& request) {
  const std::string id = request.Header("x-attempt-id");
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  record_.Add("replica " + options_.id + " runs " + id + " " + request.target +
              " after event '" + request.Header("last-event-id") + "'");
}

std::vector<EngineReplica::Order> EngineReplica::orders() {
  const std::lock_guard lock(mutex_);
  return orders_;
}

void EngineReplica::Report(Channel& channel) {
  std::string body;
  std::string headers = "Content-Type: application/json\r\n";
  {
    const std::lock_guard lock(mutex_);
    FinishLoad();
    json::object report{{"Stage", "unified"},
                        {"Busy", is_loading_},
                        {"Sequence", sequence_},
                        {"Queued", 0},
                        {"InFlight", 0},
                        {"KvUsed", 0},
                        {"KvTotal", 100'000},
                        {"Handles", 0},
                        {"pace", 1.0},
                        {"born", born_},
                        {"Stalled", json::array()},
                        {"Kind", options_.kind}};
    if (to_ > from_) {
      report["Layers"] =
          json::object{{"From", from_}, {"To", to_}, {"Version", 1}};
    }
    body = json::serialize(report);
    if (is_leaving_) {
      headers += "Server-Leaving: 1\r\n";
    }
  }
  channel.Write(FormatResponse(200, headers, body));
}

void EngineReplica::TakeOrder(const Message& request, Channel& channel) {
  const json::value body = json::parse(request.body);
  Order order{.time = Now()};
  order.from = body.at("From").to_number<int>();
  order.to = body.at("To").to_number<int>();
  order.fence = body.as_object().contains("FencingToken")
                    ? body.at("FencingToken").to_number<std::uint64_t>()
                    : 0;
  {
    const std::lock_guard lock(mutex_);
    FinishLoad();
    if (order.fence < fence_) {
      order.status = 412;
    } else if (body.at("ExpectedRevision").to_number<std::uint64_t>() !=
                   sequence_ ||
               is_loading_) {
      order.status = 409;
    } else if (order.from == from_ && order.to == to_) {
      order.status = 200;
    } else {
      order.status = 202;
      ++sequence_;
      is_loading_ = true;
      next_from_ = order.from;
      next_to_ = order.to;
      loaded_at_ = Clock::now() + milliseconds(options_.load_ms);
    }
    if (order.status != 412) {
      fence_ = order.fence;
    }
    orders_.push_back(order);
  }
  record_.Add("replica " + options_.id + " is ordered to hold " +
              std::to_string(order.from) + "-" + std::to_string(order.to) +
              " with fence " + std::to_string(order.fence) + " -> " +
              std::to_string(order.status));
  channel.Write(FormatResponse(order.status, "", "{}"));
}

bool EngineReplica::HoldsPart(const std::string& hops) {
  const std::lock_guard lock(mutex_);
  FinishLoad();
  if (hops.empty()) {
    return from_ == 0 && to_ == kLayers;
  }
  int from = 0;
  int to = 0;
  const std::string first = hops.substr(0, hops.find(','));
  const std::size_t equals = first.find('=');
  if (first.substr(0, equals) != server_.address() ||
      std::sscanf(first.c_str() + equals + 1, "%d-%d", &from, &to) != 2) {
    return false;
  }
  return from_ <= from && to <= to_;
}

void EngineReplica::Stream(const Message& request, Channel& channel) {
  std::string headers =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Attempt-Id: " +
      request.Header("x-attempt-id") + "\r\nX-Response-Seal: seal-" +
      request.Header("x-attempt-id") +
      "\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n";
  if (!channel.Write(headers)) {
    return;
  }
  for (int id = FirstEvent(request); id <= options_.events; ++id) {
    SleepMs(options_.pause_ms);
    if (channel.IsClosedByPeer()) {
      return;
    }
    const std::string event = Event(request, id);
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!channel.Write(size + event + "\r\n")) {
      return;
    }
  }
  channel.Write("0\r\n\r\n");
}

void EngineReplica::Handle(Channel& channel) {
  const auto request = channel.Read(true, milliseconds(5'000));
  if (!request || is_down_) {
    return;
  }
  if (request->target == "/report") {
    Report(channel);
    return;
  }
  if (request->target == "/order") {
    TakeOrder(*request, channel);
    return;
  }
  const std::string expected = request->Header("x-expect-replica");
  if ((!expected.empty() && expected != options_.id) ||
      !HoldsPart(request->Header("x-router-hops"))) {
    channel.Write(
        FormatResponse(421,
                       "X-Not-Executed: 1\r\nX-Replica-Id: " + options_.id +
                           "\r\nAt-Server: " + server_.address() + "\r\n",
                       ""));
    return;
  }
  if (handler_ && handler_(*this, *request, channel)) {
    return;
  }
  NoteRun(*request);
  Stream(*request, channel);
}

}  // namespace review
