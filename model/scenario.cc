#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <stdexcept>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace sycamoreford::model {

namespace json = boost::json;

namespace {

/// An invalid field; `Scenario::Parse` turns it into a `Failure`.
struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A JSON object with its path in the file, for error messages.
class Node {
 public:
  Node(const json::value& value, std::string path)
      : object_(value.if_object()), path_(std::move(path)) {
    if (object_ == nullptr) {
      throw FieldError(path_ + ": expected an object");
    }
  }

  [[nodiscard]] const json::object& object() const { return *object_; }
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] std::string PathOf(std::string_view name) const {
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
  }

  /// A number of at least `min`; `fallback` when the field is absent.
  [[nodiscard]] double Number(std::string_view name,
                              std::optional<double> fallback = std::nullopt,
                              double min = 0) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      if (fallback) {
        return *fallback;
      }
      throw FieldError(PathOf(name) + ": missing number");
    }
    if (!found->is_number() || found->to_number<double>() < min) {
      throw FieldError(PathOf(name) + ": expected a number of at least " +
                       std::to_string(min));
    }
    return found->to_number<double>();
  }

  [[nodiscard]] std::uint32_t Uint32(std::string_view name,
                                     std::uint32_t fallback) const {
    return static_cast<std::uint32_t>(Number(name, fallback));
  }

  [[nodiscard]] std::chrono::milliseconds Ms(
      std::string_view name,
      std::chrono::milliseconds fallback) const {
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        Number(name, static_cast<double>(fallback.count()))));
  }

  [[nodiscard]] std::string String(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr || !found->is_string()) {
      throw FieldError(PathOf(name) + ": expected a string");
    }
    return std::string(found->as_string());
  }

  [[nodiscard]] Node Child(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      throw FieldError(PathOf(name) + ": missing object");
    }
    return Node(*found, PathOf(name));
  }

  [[nodiscard]] std::vector<Node> List(std::string_view name) const {
    std::vector<Node> nodes;
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      return nodes;
    }
    if (!found->is_array()) {
      throw FieldError(PathOf(name) + ": expected an array");
    }
    for (const json::value& value : found->as_array()) {
      nodes.emplace_back(
          value, PathOf(name) + "[" + std::to_string(nodes.size()) + "]");
    }
    return nodes;
  }

 private:
  const json::object* object_;
  std::string path_;
};

using DoubleMs = std::chrono::duration<double, std::milli>;

EngineProfile ReadEngine(const Node& node) {
  EngineProfile engine;
  engine.layers =
      static_cast<std::uint32_t>(node.Number("layers", std::nullopt, 1));
  engine.layer_mb = node.Number("layer_mb");
  engine.kv_bytes_per_token = node.Number("token_bytes");
  engine.slots = node.Uint32("slots", 192);
  engine.decode_step_time = DoubleMs(node.Number("step_ms"));
  engine.load_time = std::chrono::duration<double>(node.Number("load_s"));
  for (const Node& kind : node.List("kinds")) {
    engine.kinds[kind.String("name")] = {
        .memory_mb = kind.Number("memory_mb"),
        .decode_factor = kind.Number("step_factor", 1),
        .prefill_factor = kind.Number("read_factor", 1)};
  }
  return engine;
}

EngineCosts ReadCosts(const Node& node) {
  EngineCosts costs;
  costs.per_decoding_request = DoubleMs(
      node.Number("per_writer_ms", costs.per_decoding_request.count()));
  costs.per_thousand_context_tokens = DoubleMs(node.Number(
      "per_thousand_context_ms", costs.per_thousand_context_tokens.count()));
  costs.prefill_tokens_per_second =
      node.Number("read_per_second", costs.prefill_tokens_per_second, 1);
  costs.per_million_attention_pairs = DoubleMs(node.Number(
      "per_million_pairs_ms", costs.per_million_attention_pairs.count()));
  costs.prefill_chunk_tokens =
      node.Uint32("chunk_tokens", costs.prefill_chunk_tokens);
  costs.decode_steps_per_pass =
      node.Uint32("stride", costs.decode_steps_per_pass);
  costs.max_waiting_requests = node.Uint32("queue", costs.max_waiting_requests);
  costs.stall_timeout = node.Ms("stall_ms", costs.stall_timeout);
  costs.max_full_speed_loads =
      node.Uint32("loads_at_once", costs.max_full_speed_loads);
  return costs;
}

TokenDistribution ReadTokenDistribution(const Node& node) {
  TokenDistribution distribution;
  distribution.mean = node.Number("mean", std::nullopt, 1);
  distribution.coefficient_of_variation = node.Number("spread", 0);
  distribution.max = node.Number("most", 4 * distribution.mean, 1);
  return distribution;
}

RequestKind ReadRequestKind(const Node& node) {
  RequestKind kind;
  kind.name = node.String("name");
  kind.share = node.Number("share", kind.share);
  kind.prompt = ReadTokenDistribution(node.Child("prompt"));
  kind.output = ReadTokenDistribution(node.Child("answer"));
  kind.on_time_payoff = node.Number("worth", kind.on_time_payoff);
  kind.late_payoff = node.Number("late_worth", kind.late_payoff);
  kind.target_latency = node.Ms("target_latency_ms", kind.target_latency);
  kind.max_pause = node.Ms("longest_pause_ms", kind.max_pause);
  kind.time_limit = node.Ms("time_limit_ms", kind.time_limit);
  kind.max_attempts = node.Uint32("max_attempts", kind.max_attempts);
  kind.max_caller_retries = node.Uint32("returns", kind.max_caller_retries);
  return kind;
}

DataCentreSpec ReadDataCentre(const Node& node, const EngineProfile& engine) {
  DataCentreSpec spec;
  spec.name = node.String("name");
  spec.daemons = node.Uint32("daemons", spec.daemons);
  spec.requests_per_second = node.Number("requests_per_second");
  const Node accelerators = node.Child("cards");
  for (const auto& [name, count] : accelerators.object()) {
    if (!engine.kinds.contains(std::string(name))) {
      throw FieldError(accelerators.PathOf(name) +
                       ": no such kind in engine.kinds");
    }
    spec.accelerators[std::string(name)] = accelerators.Uint32(name, 0);
  }
  return spec;
}

Fault ReadFault(const Node& node) {
  static const std::map<std::string, Fault::Kind> kKinds = {
      {"crash", Fault::Kind::kCrash},
      {"lost", Fault::Kind::kPermanentCrash},
      {"dark", Fault::Kind::kUnresponsive},
      {"slow", Fault::Kind::kSlow},
      {"burst", Fault::Kind::kBurst}};
  const auto kind = kKinds.find(node.String("kind"));
  if (kind == kKinds.end()) {
    throw FieldError(node.PathOf("kind") +
                     ": expected crash, lost, dark, slow or burst");
  }
  Fault fault;
  fault.kind = kind->second;
  fault.start = node.Ms("at_ms", fault.start);
  fault.duration = node.Ms("length_ms", fault.duration);
  fault.share = node.Number("share", fault.share);
  fault.factor = node.Number("factor", fault.factor);
  return fault;
}

Scenario ReadScenario(const Node& node) {
  Scenario scenario;
  scenario.name = node.String("name");
  scenario.duration = node.Ms("length_ms", scenario.duration);
  scenario.warm_up = node.Ms("lead_ms", scenario.warm_up);
  const Node engine = node.Child("engine");
  scenario.engine = ReadEngine(engine);
  scenario.costs = ReadCosts(engine);
  for (const Node& kind : node.List("requests")) {
    scenario.requests.push_back(ReadRequestKind(kind));
  }
  for (const Node& spec : node.List("data_centres")) {
    scenario.data_centres.push_back(ReadDataCentre(spec, scenario.engine));
  }
  for (const Node& fault : node.List("faults")) {
    scenario.faults.push_back(ReadFault(fault));
  }
  if (scenario.requests.empty() || scenario.data_centres.empty()) {
    throw FieldError("requests, data_centres: expected at least one of each");
  }
  const Node retries = node.Child("retries");
  scenario.retries.ratio = retries.Number("ratio", scenario.retries.ratio);
  scenario.retries.extra = retries.Number("extra", scenario.retries.extra);
  scenario.retries.window = retries.Ms("window_ms", scenario.retries.window);
  scenario.SetMeanTokens();
  return scenario;
}

/// Mean of a value over the kinds of request, weighted by their shares.
template <class Value>
double MeanOver(const std::vector<RequestKind>& kinds, Value value) {
  double sum = 0;
  double shares = 0;
  for (const RequestKind& kind : kinds) {
    sum += kind.share * value(kind);
    shares += kind.share;
  }
  return shares > 0 ? sum / shares : 0;
}

}  // namespace

double Scenario::requests_per_second() const noexcept {
  return std::accumulate(data_centres.begin(), data_centres.end(), 0.0,
                         [](double sum, const DataCentreSpec& it) {
                           return sum + it.requests_per_second;
                         });
}

double Scenario::mean_tokens() const noexcept {
  return MeanOver(requests, [](const RequestKind& kind) {
    return kind.prompt.mean + kind.output.mean;
  });
}

double Scenario::mean_output_tokens() const noexcept {
  return MeanOver(requests,
                  [](const RequestKind& kind) { return kind.output.mean; });
}

void Scenario::SetMeanTokens() noexcept {
  engine.mean_output_tokens = mean_output_tokens();
  engine.mean_prompt_tokens = mean_tokens() - mean_output_tokens();
}

Result<Scenario> Scenario::Parse(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error) {
    return Failure{.code = Errc::kMalformed,
                   .where = "not JSON: " + error.message()};
  }
  try {
    return ReadScenario(Node(value, ""));
  } catch (const FieldError& field_error) {
    return Failure{.code = Errc::kMalformed, .where = field_error.what()};
  }
}

}  // namespace sycamoreford::model
