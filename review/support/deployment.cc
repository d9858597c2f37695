#include "deployment.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace review {

void Record::Note(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> time = Clock::now() - started_at_;
  file_ << std::fixed << std::setprecision(3) << time.count() << " " << text
        << std::endl;
}

Relay::Relay(int index, const std::string& store, const std::string& folder)
    : name_("front-ibadan-" + std::to_string(index)),
      folder_(folder),
      store_(store),
      front_("127.0.0.1:" + std::to_string(FreePort())),
      ready_("127.0.0.1:" + std::to_string(FreePort())),
      control_("127.0.0.1:" + std::to_string(FreePort())),
      internal_(std::to_string(FreePort())),
      metrics_port_(FreePort()) {}

Relay::~Relay() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Relay::Start(const std::vector<std::string>& seeds) {
  const std::string settings = folder_ + "/" + name_ + ".conf";
  std::string seed_list;
  for (const std::string& seed : seeds) {
    seed_list += (seed_list.empty() ? "" : ",") + seed;
  }
  std::ofstream(settings)
      << "NodeName=" << name_
      << "\nRole=relay\nMachineClass=front\nServes=front,control"
         "\nIp=127.0.0.1\nZone=ibadan\nRegion=sw-ng\nZones.ibadan=sw-ng"
      << "\nListen.Front=" << front_ << "\nListen.Ready=" << ready_
      << "\nListen.Control=" << control_ << "\nInternalPorts=" << internal_
      << "," << internal_ << "\nSeeds=" << seed_list
      << "\nBootstrap=true\nLimits.MemoryMb=260\nLimits.MaxFds=4100"
         "\nHeartbeatMs=1200\nBounds.SeedLagS=3\nBounds.ContactMs=3000"
         "\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.ConfigApplyMs=2000"
         "\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10"
         "\nBounds.BudgetExtra=202\nBounds.RecoverS=12"
      << "\nPlatform.Address=" << store_
      << "\nPlatform.form=table\nPlatform.HistoryRetentionS=20\n";
  const std::string program = "target/sycamore-relayd";
  const std::string port = std::to_string(metrics_port_);
  const std::string variable = "SYCAMOREFORD_CONFIG=" + settings;
  std::vector<std::string> words = {program, "--metrics-port", port};
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::vector<std::string> variables = {variable, "PATH=/usr/bin:/bin"};
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& it : variables) {
    environment.push_back(it.data());
  }
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + name_ + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

bool Relay::WaitUntilReady() const {
  for (int i = 0; i < 200; ++i) {
    const auto answer = Fetch(ready_, "GET", "/ready", {{"Host", ready_}}, "",
                              Milliseconds(500));
    if (answer && answer->status() == 200) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(100));
  }
  return false;
}

void Relay::Signal(int number) const {
  kill(pid_, number);
}

std::string Relay::metrics() const {
  const std::string address = "127.0.0.1:" + std::to_string(metrics_port_);
  const auto answer = Fetch(address, "GET", "/metrics", {{"Host", address}}, "",
                            Milliseconds(1'000));
  return answer ? answer->body : "";
}

Answer Callers::Ask(
    const Relay& relay,
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields,
    Milliseconds deadline) {
  Answer answer;
  answer.id = "a" + std::to_string(++count_);
  answer.relay = relay.name();
  answer.path = path;
  answer.sent_at = Clock::now();
  record_.Note("sent " + answer.id + " " + path + " to " + relay.name());
  std::vector<std::pair<std::string, std::string>> all = {
      {"Host", "ficu95.example"},
      {"X-Attempt-Id", answer.id},
      {"X-Deadline-Ms", std::to_string(deadline.count())}};
  all.insert(all.end(), fields.begin(), fields.end());
  const auto response =
      Fetch(relay.front(), "POST", path, all, "body of " + answer.id, deadline);
  answer.status = response ? response->status() : 0;
  answer.body = response ? response->body : "";
  std::string line =
      "answered " + answer.id + " " + std::to_string(answer.status);
  if (answer.status != 200) {
    line += " " + answer.body;
  }
  record_.Note(line);
  const std::lock_guard lock(mutex_);
  answers_.push_back(answer);
  return answer;
}

void Callers::Send(
    const Relay& relay,
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields,
    Milliseconds deadline) {
  const std::lock_guard lock(mutex_);
  threads_.emplace_back([this, &relay, path, fields, deadline] {
    (void)Ask(relay, path, fields, deadline);
  });
}

void Callers::Load(const std::vector<std::unique_ptr<Relay>>& relays,
                   const std::string& path,
                   Milliseconds interval,
                   Clock::time_point end) {
  std::size_t i = 0;
  for (auto next = Clock::now(); next < end; next += interval) {
    std::this_thread::sleep_until(next);
    Send(*relays[i % relays.size()], path + std::to_string(i));
    ++i;
  }
}

void Callers::Join() {
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    threads.swap(threads_);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::vector<Answer> Callers::Sent(const std::string& prefix,
                                  Clock::time_point from,
                                  Clock::time_point to) {
  const std::lock_guard lock(mutex_);
  std::vector<Answer> found;
  for (const Answer& answer : answers_) {
    if (answer.path.starts_with(prefix) && answer.sent_at >= from &&
        answer.sent_at < to) {
      found.push_back(answer);
    }
  }
  return found;
}

double ServedShare(const std::vector<Answer>& answers) {
  int served = 0;
  for (const Answer& answer : answers) {
    served += answer.status == 200 ? 1 : 0;
  }
  return answers.empty() ? 0
                         : static_cast<double>(served) /
                               static_cast<double>(answers.size());
}

std::vector<std::unique_ptr<Relay>> StartRelays(int count,
                                                const std::string& store,
                                                const std::string& folder,
                                                Record& record) {
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<std::string> seeds;
  for (int i = 1; i <= count; ++i) {
    relays.push_back(std::make_unique<Relay>(i, store, folder));
    seeds.push_back(relays.back()->control());
  }
  for (const auto& relay : relays) {
    relay->Start(seeds);
  }
  for (const auto& relay : relays) {
    if (!relay->WaitUntilReady()) {
      record.Note("not ready: " + relay->name());
      return {};
    }
  }
  record.Note("ready");
  return relays;
}

bool IsWithoutTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(path_, ignored);
  }
}

}  // namespace review
