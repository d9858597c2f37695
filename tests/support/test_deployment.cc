#include "support/test_deployment.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/json.hpp>

#include "fakes/fake_model.h"
#include "support/run.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/config/configuration.h"

namespace sycamoreford::support {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kStages = 3;
constexpr std::uint32_t kLayersPerStage = 4;
constexpr std::uint32_t kLayers = kStages * kLayersPerStage;
constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
constexpr std::chrono::seconds kSycamorectlTimeout{30};
constexpr std::chrono::seconds kRevisionTimeout{13};

std::string Hash(const std::string& secret) {
  return HashSecret("salt", secret);
}

std::string CustomerEdit(const std::string& name) {
  return R"({"verb":"VERB_PUT","kind":"KIND_CUSTOMER","resource":{"name":")" +
         name + R"(","customer":{"key_salt":"salt","key_sha256":")" +
         Hash(name + "-key") + R"(","priority":"standard"}}})";
}

std::string EndpointJson(const TestEndpoint& endpoint, std::uint32_t first) {
  return R"({"name":")" + endpoint.name + R"(","address":")" +
         endpoint.address + R"(","data_center":"oyo","first_layer":)" +
         std::to_string(first) + R"(,"end_layer":)" +
         std::to_string(first + kLayersPerStage) +
         R"(,"tokens_per_second":1000})";
}

}  // namespace

Result<HttpResponse> Fetch(const std::string& address,
                           const HttpRequest& request,
                           std::chrono::milliseconds timeout) {
  return Run(FetchHttp(address, request, timeout, kMaxResponseBytes));
}

Result<HttpResponse> Post(const std::string& address,
                          const std::string& target,
                          const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return Fetch(address, request);
}

TestDeployment::TestDeployment(const Options& options) : options_(options) {
  char name[] = "/tmp/sycamoreford-deployment-XXXXXX";
  directory_ = mkdtemp(name);
  table_process_.emplace("tests/fake_table", std::vector<std::string>{});
  table_address_ = table_process_->WaitForValue("address");
  for (const std::string replica : {"a", "b"}) {
    for (std::uint32_t i = 0; i < kStages; ++i) {
      const std::uint32_t first = i * kLayersPerStage;
      const std::string stage = replica + std::to_string(i);
      Process process("tests/fake_stage",
                      {"--model", "bell-llm", "--version-name", "7", "--first",
                       std::to_string(first), "--end",
                       std::to_string(first + kLayersPerStage), "--latency-us",
                       std::to_string(options.latency.count())});
      std::string address = process.WaitForValue("address");
      stages_[stage].emplace(
          TestEndpoint{std::move(process), stage, std::move(address)});
    }
  }
  for (const std::string service : {"rota-1", "rota-2"}) {
    Process process("tests/fake_service", {});
    std::string address = process.WaitForValue("address");
    services_.emplace_back(
        TestEndpoint{std::move(process), service, std::move(address)});
  }
  for (int i = 0; i < options.daemons; ++i) {
    StartDaemon();
  }
  std::string output;
  std::string rota;
  for (const auto& service : services_) {
    rota += (rota.empty() ? "" : ",") + EndpointJson(*service, 0);
  }
  const int code = Apply(0,
                         R"({"edits":[
{"verb":"VERB_PUT","kind":"KIND_PRIORITY","resource":{"name":"standard","priority":{"rank":1}}},
)" + CustomerEdit("ringers") +
                             "," + CustomerEdit("students") + R"(,
{"verb":"VERB_PUT","kind":"KIND_MODEL_VERSION","resource":{"name":"bell-llm-7","model_version":{"model":"bell-llm","version":"7","layers":12}}},
{"verb":"VERB_PUT","kind":"KIND_POOL","resource":)" +
                             StagePoolJson() + R"(},
{"verb":"VERB_PUT","kind":"KIND_ROUTE","resource":{"name":"bell-llm","route":{"pool":"bell","model_version":"bell-llm-7","max_tokens":2000}}},
{"verb":"VERB_PUT","kind":"KIND_POOL","resource":{"name":"rota","pool":{"endpoints":[)" +
                             rota + R"(]}}},
{"verb":"VERB_PUT","kind":"KIND_SERVICE_ROUTE","resource":{"name":"rota-app","service_route":{"pool":"rota"}}}
]})",
                         &output);
  if (code != 0) {
    throw std::runtime_error("configuration refused: " + output);
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    WaitForRevision(i, 1);
  }
}

TestDeployment::~TestDeployment() {
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string TestDeployment::StagePoolJson() const {
  std::string endpoints;
  for (const auto& [name, stage] : stages_) {
    const auto index = static_cast<std::uint32_t>(name[1] - '0');
    endpoints += (endpoints.empty() ? "" : ",") +
                 EndpointJson(*stage, index * kLayersPerStage);
  }
  return R"({"name":"bell","pool":{"endpoints":[)" + endpoints + "]}}";
}

std::size_t TestDeployment::StartDaemon() {
  const std::string name = "entry-" + std::to_string(daemons_.size() + 1);
  const std::string path = directory_ + "/" + name + ".json";
  std::string seeds;
  for (const std::string& peer : peer_addresses_) {
    seeds += (seeds.empty() ? "\"" : ",\"") + peer + "\"";
  }
  std::ofstream(path) << R"({"name":")" << name << R"(","seeds":[)" << seeds
                      << R"(],"data_center":"oyo","region":"sw-ng",
"listen":{"callers":"127.0.0.1:0","operators":"127.0.0.1:0","peers":"127.0.0.1:0"},
"table":{"address":")" << table_address_
                      << "\"," << options_.table << "},\n\"limits\":{"
                      << options_.limits << "},\n"
                      << R"("operators":[{"name":"captain","token_salt":"salt",
"token_sha256":")" << Hash("operator-token")
                      << "\"}]}";
  daemons_.emplace_back(std::in_place, "sycamored",
                        std::vector<std::string>{"--settings", path});
  caller_addresses_.push_back(daemons_.back()->WaitForValue("callers"));
  operator_addresses_.push_back(daemons_.back()->WaitForValue("operators"));
  peer_addresses_.push_back(daemons_.back()->WaitForValue("peers"));
  return daemons_.size() - 1;
}

int TestDeployment::RunSycamorectl(std::size_t daemon,
                                   std::vector<std::string> arguments,
                                   std::string* output) {
  setenv("SYCAMORE_TOKEN", "operator-token", 1);
  arguments.insert(arguments.begin(),
                   {"--server", operator_addresses_.at(daemon)});
  Process sycamorectl("sycamorectl", std::move(arguments));
  const int code = sycamorectl.Wait(kSycamorectlTimeout);
  if (output != nullptr) {
    *output = sycamorectl.Output();
  }
  return code;
}

int TestDeployment::Apply(std::size_t daemon,
                          const std::string& json,
                          std::string* output) {
  const std::string path = directory_ + "/change.json";
  std::ofstream(path) << json;
  return RunSycamorectl(daemon, {"apply", path}, output);
}

void TestDeployment::WaitForRevision(std::size_t daemon,
                                     std::uint64_t revision) {
  HttpRequest request;
  request.target = "/metrics";
  const std::string wanted =
      "sycamoreford_config_revision " + std::to_string(revision) + "\n";
  const auto deadline = std::chrono::steady_clock::now() + kRevisionTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto metrics = Fetch(caller_address(daemon), request);
    if (metrics && metrics->body.find(wanted) != std::string::npos) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  throw std::runtime_error("revision not in force within 13 s");
}

HttpRequest TestDeployment::ChatRequest(const std::string& content,
                                        std::uint32_t max_tokens,
                                        bool stream,
                                        const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.fields.Add("authorization", "Bearer " + key);
  request.body = R"({"model":"bell-llm","max_tokens":)" +
                 std::to_string(max_tokens) + R"(,"stream":)" +
                 (stream ? "true" : "false") + R"(,"messages":)" +
                 ChatMessages(content) + "}";
  return request;
}

std::string TestDeployment::ChatMessages(const std::string& content) {
  return json::serialize(
      json::array{json::object{{"role", "user"}, {"content", content}}});
}

std::string TestDeployment::ExpectedAnswer(const std::string& content,
                                           std::uint32_t max_tokens) {
  std::string joined;
  for (const std::string& token : fakes::FakeModel::GenerateTokens(
           ChatMessages(content), kLayers, max_tokens)) {
    joined += token;
  }
  return joined;
}

std::optional<std::string> TestDeployment::AnswerText(
    const HttpResponse& response) {
  if (response.content_type != "text/event-stream") {
    const json::value body = json::parse(response.body);
    const json::value* choices = body.as_object().if_contains("choices");
    if (choices == nullptr) {
      return std::nullopt;
    }
    return json::value_to<std::string>(
        choices->at(0).at("message").at("content"));
  }
  std::string text;
  std::size_t at = 0;
  while (at < response.body.size()) {
    const std::size_t end = response.body.find("\n\n", at);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string data = response.body.substr(at + 6, end - at - 6);
    if (data == "[DONE]") {
      return text;
    }
    const json::value event = json::parse(data);
    if (event.as_object().contains("error")) {
      return std::nullopt;
    }
    const json::object& delta =
        event.at("choices").at(0).at("delta").as_object();
    if (const json::value* content = delta.if_contains("content")) {
      text += json::value_to<std::string>(*content);
    }
    at = end + 2;
  }
  return std::nullopt;
}

}  // namespace sycamoreford::support
