#include "replica.h"

#include <thread>
#include <utility>

#include <boost/json.hpp>

namespace review {

Replica::Replica(Store& store, Options options)
    : store_(store),
      options_(std::move(options)),
      server_([this](Connection& connection, const Message& request) {
        return Answer(connection, request);
      }) {}

std::string Replica::Entry(const std::string& state) {
  const std::lock_guard lock(mutex_);
  return boost::json::serialize(
      boost::json::object{{"Service", options_.service},
                          {"Address", server_.address()},
                          {"Zone", options_.zone},
                          {"Version", "v1"},
                          {"Slots", 6},
                          {"State", state},
                          {"ColdRemainingMs", cold_.count()},
                          {"born", born_},
                          {"Sequence", ++sequence_}});
}

std::uint64_t Replica::Announce(const std::string& state) {
  return store_.Write("servers", options_.id, Entry(state));
}

void Replica::SetCold(Milliseconds left) {
  const std::lock_guard lock(mutex_);
  cold_ = left;
}

void Replica::Withdraw() {
  store_.Drop("servers", options_.id);
}

void Replica::Leave() {
  const std::lock_guard lock(mutex_);
  is_leaving_ = true;
}

void Replica::End() {
  server_.Stop();
}

void Replica::Restart() {
  {
    const std::lock_guard lock(mutex_);
    is_leaving_ = false;
    sequence_ = 0;
    born_ = UnixMs();
  }
  server_.Start();
}

std::vector<Replica::Run> Replica::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::uint64_t Replica::born() {
  const std::lock_guard lock(mutex_);
  return born_;
}

bool Replica::Answer(Connection& connection, const Message& request) {
  const std::string target = request.target();
  const std::string id = request.Get("X-Attempt-Id");
  std::vector<std::pair<std::string, std::string>> fields;
  const auto add_state = [&] {
    const std::lock_guard lock(mutex_);
    if (is_leaving_) {
      fields.emplace_back("Server-Leaving", "1");
    }
  };
  if (target == "/health" || target == "/report") {
    add_state();
    fields.emplace_back("X-Replica-Id", options_.id);
    const std::string born = std::to_string(this->born());
    return connection.Write(Response(
        200, R"({"Stage":"unified","Models":[],"born":)" + born + "}", fields));
  }
  const std::string expected = request.Get("X-Expect-Replica");
  if (!expected.empty() && expected != options_.id) {
    return connection.Write(Response(421, "", {{"X-Replica-Id", options_.id}}));
  }
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({Clock::now(), id, options_.id, target});
  }
  std::this_thread::sleep_for(options_.work);
  add_state();
  fields.emplace_back("X-Attempt-Id", id);
  fields.emplace_back("X-Response-Seal", options_.id + "." + id);
  fields.emplace_back("X-Replica-Load", "1,0,6");
  return connection.Write(Response(200, "done " + id, fields));
}

}  // namespace review
