// Requests whose prompts hold a part that crashes the replicas come again and
// again. The part is the ninth of the prompt.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

#include "../support/deployment.h"
#include "../support/manifest.h"
#include "../support/store.h"

namespace review {
namespace {

constexpr Milliseconds kContact{3'000};
constexpr Milliseconds kDown{2'000};
constexpr Milliseconds kLoadTime{1'000};
constexpr Milliseconds kFirstEvent{30};
constexpr Milliseconds kEventTime{20};
constexpr int kEvents = 4;
/// The entry of a replica that has crashed goes after three heartbeats.
constexpr Milliseconds kLapse{3'600};
/// Crashes after which the requests are to be held back.
constexpr std::size_t kCrashes = 5;
/// Requests that may reach replicas later than `kContact` after them.
constexpr std::size_t kAllowed = 3;
constexpr const char* kBadPart = "bad0bad0";

/// What has happened at all replicas.
struct History {
  std::mutex mutex;
  std::vector<Clock::time_point> crashes;
  std::vector<Clock::time_point> bad_arrivals;
};

/// A replica of the model service that holds all layers, and crashes when it
/// begins to write an answer on the bad part. It is back after some seconds,
/// as a new boot without layers.
class ModelReplica {
 public:
  ModelReplica(Store& store,
               Record& record,
               History& history,
               int number,
               bool may_crash)
      : store_(store),
        record_(record),
        history_(history),
        number_(number),
        may_crash_(may_crash),
        id_("i-" + std::to_string(number) + "-0"),
        server_([this](Connection& connection, const Message& request) {
          return Answer(connection, request);
        }),
        keeper_([this] { Keep(); }) {}
  ~ModelReplica() {
    is_ending_ = true;
    keeper_.join();
  }
  ModelReplica(const ModelReplica&) = delete;
  ModelReplica& operator=(const ModelReplica&) = delete;

  void Announce() {
    std::string id;
    std::string entry;
    {
      const std::lock_guard lock(mutex_);
      id = id_;
      boost::json::object object = State();
      object["Service"] = "llm";
      object["Address"] = server_.address();
      object["Zone"] = "ibadan";
      object["Version"] = "v1";
      object["Slots"] = 192;
      object["State"] = "ready";
      object["ColdRemainingMs"] = 0;
      entry = boost::json::serialize(object);
    }
    store_.Write("servers", id, entry);
  }

 private:
  /// Precondition: `mutex_` is held.
  boost::json::object State() {
    boost::json::object state = {
        {"Stage", "unified"},
        {"Kind", "whole"},
        {"Models", boost::json::array{boost::json::object{
                       {"Name", "m"},
                       {"Version", 1},
                       {"Adapters", boost::json::array()}}}},
        {"Sequence", orders_},
        {"born", born_}};
    if (layers_end_ > 0) {
      state["Layers"] = {
          {"From", layers_from_}, {"To", layers_end_}, {"Version", 1}};
    }
    return state;
  }

  bool AnswerReport(Connection& connection) {
    std::string body;
    {
      const std::lock_guard lock(mutex_);
      boost::json::object report = State();
      report["Busy"] = loaded_at_.has_value();
      report["Queued"] = 0;
      report["InFlight"] = 0;
      report["KvUsed"] = 0;
      report["KvTotal"] = 8'000'000;
      report["Handles"] = 0;
      report["pace"] = 1.0;
      body = boost::json::serialize(report);
    }
    return connection.Write(Response(200, body));
  }

  bool AnswerOrder(Connection& connection, const std::string& body) {
    const boost::json::value order = boost::json::parse(body);
    int status = 202;
    {
      const std::lock_guard lock(mutex_);
      const auto* expected = order.as_object().if_contains("ExpectedRevision");
      if (expected != nullptr && expected->to_number<int>() != orders_) {
        status = 409;
      } else if (order.at("From").to_number<int>() == layers_from_ &&
                 order.at("To").to_number<int>() == layers_end_) {
        status = 200;
      } else {
        ++orders_;
        next_from_ = order.at("From").to_number<int>();
        next_end_ = order.at("To").to_number<int>();
        loaded_at_ = Clock::now() + kLoadTime;
      }
    }
    return connection.Write(Response(status, "{}"));
  }

  bool Answer(Connection& connection, const Message& request) {
    const std::string target = request.target();
    if (target == "/report") {
      return AnswerReport(connection);
    }
    if (target == "/order") {
      return AnswerOrder(connection, request.body);
    }
    std::string id;
    bool has_layers = false;
    {
      const std::lock_guard lock(mutex_);
      id = id_;
      has_layers = layers_from_ == 0 && layers_end_ == 80;
    }
    const std::string expected = request.Get("X-Expect-Replica");
    if ((!expected.empty() && expected != id) || !has_layers) {
      return connection.Write(
          Response(421, "", {{"At-Server", server_.address()}}));
    }
    const bool is_bad =
        request.Get("X-Prompt-Prefix").find(kBadPart) != std::string::npos;
    const std::string request_id = request.Get("X-Attempt-Id");
    record_.Note("ran " + request_id + " " + (is_bad ? "bad" : "sound") +
                 " at " + id);
    if (is_bad) {
      const std::lock_guard lock(history_.mutex);
      history_.bad_arrivals.push_back(Clock::now());
    }
    std::this_thread::sleep_for(kFirstEvent);
    if (is_bad && may_crash_) {
      Crash(id);
      return false;
    }
    return WriteStream(connection, request_id, id);
  }

  static bool WriteStream(Connection& connection,
                          const std::string& request_id,
                          const std::string& id) {
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    text += "X-Attempt-Id: " + request_id + "\r\nX-Response-Seal: " + id + "." +
            request_id + "\r\nX-Replica-Load: 1,0,192\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= kEvents; ++event) {
      const std::string data =
          "id: " + std::to_string(event) + "\ndata: word\n\n";
      char size[16];
      (void)std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
      text += size + data + "\r\n";
      if (!connection.Write(text)) {
        return false;
      }
      text.clear();
      std::this_thread::sleep_for(kEventTime);
    }
    return connection.Write("0\r\n\r\n");
  }

  void Crash(const std::string& id) {
    {
      const std::lock_guard lock(mutex_);
      if (id_ != id || crashed_at_) {
        return;
      }
      crashed_at_ = Clock::now();
      lapsing_ = id_;
      lapses_at_ = *crashed_at_ + kLapse;
      layers_end_ = 0;
      loaded_at_.reset();
    }
    record_.Note("crashed " + id);
    {
      const std::lock_guard lock(history_.mutex);
      history_.crashes.push_back(Clock::now());
    }
    server_.Stop();
  }

  /// Starts the replica again, finishes loads and drops lapsed entries.
  void Keep() {
    while (!is_ending_) {
      std::this_thread::sleep_for(Milliseconds(20));
      const auto now = Clock::now();
      bool has_started = false;
      bool has_loaded = false;
      std::string lapsed;
      {
        const std::lock_guard lock(mutex_);
        if (crashed_at_ && now >= *crashed_at_ + kDown) {
          crashed_at_.reset();
          orders_ = 0;
          born_ = UnixMs();
          id_ = "i-" + std::to_string(number_) + "-" + std::to_string(++boots_);
          has_started = true;
        }
        if (loaded_at_ && now >= *loaded_at_) {
          loaded_at_.reset();
          layers_from_ = next_from_;
          layers_end_ = next_end_;
          has_loaded = true;
        }
        if (!lapsing_.empty() && now >= lapses_at_) {
          lapsed.swap(lapsing_);
        }
      }
      if (has_started) {
        server_.Start();
      }
      if (has_started || has_loaded) {
        Announce();
      }
      if (!lapsed.empty()) {
        store_.Drop("servers", lapsed);
      }
    }
  }

  Store& store_;
  Record& record_;
  History& history_;
  int number_;
  bool may_crash_;
  std::mutex mutex_;
  std::string id_;
  int boots_ = 0;
  std::uint64_t born_ = UnixMs();
  int orders_ = 0;
  int layers_from_ = 0;
  int layers_end_ = 80;
  int next_from_ = 0;
  int next_end_ = 0;
  std::optional<Clock::time_point> loaded_at_;
  std::optional<Clock::time_point> crashed_at_;
  std::string lapsing_;
  Clock::time_point lapses_at_;
  std::atomic<bool> is_ending_{false};
  Server server_;
  std::thread keeper_;
};

std::string ModelManifest() {
  boost::json::object route = Route("/chat/", "llm", "stream");
  route["SessionAffinity"] = true;
  route["StreamResume"] = true;
  route["GapTargetMs"] = 200;
  boost::json::object service = Service("llm");
  service["Engine"] = {
      {"Slots", 192},
      {"KvCapacity", 100'000},
      {"KvTokenBytes", 918'000},
      {"Models", boost::json::array{boost::json::object{
                     {"Name", "m"}, {"pace", 1.0}, {"LoadS", 1.0}}}},
      {"step_ms", 1.02},
      {"read_per_s", 105'000.0},
      {"loads_at_once", 5},
      {"usual", {{"prompt", 774}, {"answer", 203}}},
      {"Layers", 80},
      {"LayerMb", 1'750.0},
      {"Kinds", boost::json::array{boost::json::object{{"Name", "whole"},
                                                       {"Mb", 300'000.0},
                                                       {"pace", 2.4},
                                                       {"ReadFactor", 3.2}}}}};
  return Manifest(3, {route}, {service});
}

/// Parts of a prompt: ten that requests share, and one of its own. The bad one
/// is at `position`, counted from 1; 0 for a sound request.
std::string Prompt(int number, int position) {
  std::string text;
  for (int i = 1; i <= 10; ++i) {
    text += i == position ? std::string(kBadPart)
                          : "5c1e07a" + std::string(1, "0123456789a"[i]);
    text += ":70,";
  }
  return text + std::to_string(10'000'000 + number) + ":60";
}

int Run(const std::string& record_path) {
  const char* given = std::getenv("POSITION");
  const int position = given == nullptr ? 9 : std::atoi(given);
  Record record(record_path);
  const TemporaryFolder folder;
  Store store;
  History history;
  std::vector<std::unique_ptr<ModelReplica>> replicas;
  for (int i = 1; i <= 8; ++i) {
    replicas.push_back(std::make_unique<ModelReplica>(store, record, history, i,
                                                      !IsWithoutTrouble()));
    replicas.back()->Announce();
  }
  store.Write("op", "config", ModelManifest());
  const auto relays = StartRelays(3, store.address(), folder.path(), record);
  if (relays.empty()) {
    return kCannotRun;
  }
  std::this_thread::sleep_for(Milliseconds(4'000));

  Callers callers(record);
  const auto begun_at = Clock::now();
  const auto end = begun_at + Milliseconds(40'000);
  int number = 0;
  const auto fields = [&](int bad_position) {
    return std::vector<std::pair<std::string, std::string>>{
        {"X-Model-Name", "m"},
        {"X-Token-Counts", "760,60"},
        {"X-Prompt-Prefix", Prompt(++number, bad_position)}};
  };
  // Sound requests for 5 s, then also bad ones, one in six.
  for (auto next = begun_at; next < end; next += Milliseconds(150)) {
    std::this_thread::sleep_until(next);
    const bool is_bad =
        next > begun_at + Milliseconds(5'000) && number % 6 == 0;
    const auto& relay =
        *relays[static_cast<std::size_t>(number) % relays.size()];
    callers.Send(relay, is_bad ? "/chat/bad" : "/chat/sound",
                 fields(is_bad ? position : 0), Milliseconds(10'000));
  }
  callers.Join();

  const std::lock_guard lock(history.mutex);
  std::string result = std::to_string(history.crashes.size()) + " crashes, " +
                       std::to_string(history.bad_arrivals.size()) +
                       " requests with the part reached replicas";
  std::size_t late = 0;
  if (history.crashes.size() >= kCrashes) {
    const auto from = history.crashes[kCrashes - 1] + kContact;
    late = static_cast<std::size_t>(
        std::count_if(history.bad_arrivals.begin(), history.bad_arrivals.end(),
                      [&](const auto& at) { return at > from; }));
    result += ", " + std::to_string(late) +
              " of them later than 3 s after the fifth crash";
  }
  const auto before =
      callers.Sent("/chat/sound", begun_at, begun_at + Milliseconds(5'000));
  const auto during =
      callers.Sent("/chat/sound", begun_at + Milliseconds(15'000), end);
  result += "; sound requests served: " + std::to_string(ServedShare(before)) +
            " before, " + std::to_string(ServedShare(during)) + " from 10 s on";
  record.Note(result);
  std::cout << result << "\n";
  if (before.empty() || ServedShare(before) < 0.9) {
    return kCannotRun;
  }
  return late > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) {
    return review::kCannotRun;
  }
  try {
    return review::Run(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return review::kCannotRun;
  }
}
