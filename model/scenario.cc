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

/// Ends the reading; caught in `Parse`.
struct BadField : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// An object of the file with its place, for error messages.
class Node {
 public:
  Node(const json::value& value, std::string place)
      : object_(value.if_object()), place_(std::move(place)) {
    if (object_ == nullptr) {
      throw BadField(place_ + ": expected an object");
    }
  }

  [[nodiscard]] const json::object& object() const { return *object_; }
  [[nodiscard]] const std::string& place() const { return place_; }
  [[nodiscard]] std::string At(std::string_view name) const {
    return place_.empty() ? std::string(name)
                          : place_ + "." + std::string(name);
  }

  /// A number of at least `least`; `fallback` when the field is absent.
  [[nodiscard]] double Number(std::string_view name,
                              std::optional<double> fallback = std::nullopt,
                              double least = 0) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      if (fallback) {
        return *fallback;
      }
      throw BadField(At(name) + ": missing number");
    }
    if (!found->is_number() || found->to_number<double>() < least) {
      throw BadField(At(name) + ": expected a number of at least " +
                     std::to_string(least));
    }
    return found->to_number<double>();
  }

  [[nodiscard]] std::uint32_t Whole(std::string_view name,
                                    std::uint32_t fallback) const {
    return static_cast<std::uint32_t>(Number(name, fallback));
  }

  [[nodiscard]] std::chrono::milliseconds Ms(
      std::string_view name,
      std::chrono::milliseconds fallback) const {
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        Number(name, static_cast<double>(fallback.count()))));
  }

  [[nodiscard]] std::string Text(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr || !found->is_string()) {
      throw BadField(At(name) + ": expected a text");
    }
    return std::string(found->as_string());
  }

  [[nodiscard]] Node Child(std::string_view name) const {
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      throw BadField(At(name) + ": missing object");
    }
    return Node(*found, At(name));
  }

  [[nodiscard]] std::vector<Node> List(std::string_view name) const {
    std::vector<Node> nodes;
    const json::value* found = object_->if_contains(name);
    if (found == nullptr) {
      return nodes;
    }
    if (!found->is_array()) {
      throw BadField(At(name) + ": expected a list");
    }
    for (const json::value& value : found->as_array()) {
      nodes.emplace_back(value,
                         At(name) + "[" + std::to_string(nodes.size()) + "]");
    }
    return nodes;
  }

 private:
  const json::object* object_;
  std::string place_;
};

using DoubleMs = std::chrono::duration<double, std::milli>;

EngineProfile ReadEngine(const Node& node) {
  EngineProfile engine;
  engine.layers =
      static_cast<std::uint32_t>(node.Number("layers", std::nullopt, 1));
  engine.layer_mb = node.Number("layer_mb");
  engine.kv_bytes_per_token = node.Number("token_bytes");
  engine.slots = node.Whole("slots", 192);
  engine.decode_step_time = DoubleMs(node.Number("step_ms"));
  engine.load_time = std::chrono::duration<double>(node.Number("load_s"));
  for (const Node& kind : node.List("kinds")) {
    engine.kinds[kind.Text("name")] = {
        .memory_mb = kind.Number("memory_mb"),
        .decode_factor = kind.Number("step_factor", 1),
        .prefill_factor = kind.Number("read_factor", 1)};
  }
  return engine;
}

EngineCosts ReadCosts(const Node& node) {
  EngineCosts costs;
  costs.per_writer =
      DoubleMs(node.Number("per_writer_ms", costs.per_writer.count()));
  costs.per_thousand_context = DoubleMs(node.Number(
      "per_thousand_context_ms", costs.per_thousand_context.count()));
  costs.read_per_second =
      node.Number("read_per_second", costs.read_per_second, 1);
  costs.per_million_pairs = DoubleMs(
      node.Number("per_million_pairs_ms", costs.per_million_pairs.count()));
  costs.chunk_tokens = node.Whole("chunk_tokens", costs.chunk_tokens);
  costs.stride = node.Whole("stride", costs.stride);
  costs.queue = node.Whole("queue", costs.queue);
  costs.stall = node.Ms("stall_ms", costs.stall);
  costs.loads_at_once = node.Whole("loads_at_once", costs.loads_at_once);
  return costs;
}

TokenCounts ReadCounts(const Node& node) {
  TokenCounts counts;
  counts.mean = node.Number("mean", std::nullopt, 1);
  counts.spread = node.Number("spread", 0);
  counts.most = node.Number("most", 4 * counts.mean, 1);
  return counts;
}

RequestKind ReadRequestKind(const Node& node) {
  RequestKind kind;
  kind.name = node.Text("name");
  kind.share = node.Number("share", kind.share);
  kind.prompt = ReadCounts(node.Child("prompt"));
  kind.answer = ReadCounts(node.Child("answer"));
  kind.worth = node.Number("worth", kind.worth);
  kind.late_worth = node.Number("late_worth", kind.late_worth);
  kind.target_latency = node.Ms("target_latency_ms", kind.target_latency);
  kind.longest_pause = node.Ms("longest_pause_ms", kind.longest_pause);
  kind.time_limit = node.Ms("time_limit_ms", kind.time_limit);
  kind.max_attempts = node.Whole("max_attempts", kind.max_attempts);
  kind.returns = node.Whole("returns", kind.returns);
  return kind;
}

DataCentreSpec ReadDataCentre(const Node& node, const EngineProfile& engine) {
  DataCentreSpec spec;
  spec.name = node.Text("name");
  spec.daemons = node.Whole("daemons", spec.daemons);
  spec.requests_per_second = node.Number("requests_per_second");
  const Node cards = node.Child("cards");
  for (const auto& [name, count] : cards.object()) {
    if (!engine.kinds.contains(std::string(name))) {
      throw BadField(cards.At(name) + ": no such kind in engine.kinds");
    }
    spec.cards[std::string(name)] = cards.Whole(name, 0);
  }
  return spec;
}

Fault ReadFault(const Node& node) {
  static const std::map<std::string, Fault::Kind> kKinds = {
      {"crash", Fault::Kind::kCrash},
      {"lost", Fault::Kind::kLost},
      {"dark", Fault::Kind::kDark},
      {"slow", Fault::Kind::kSlow},
      {"burst", Fault::Kind::kBurst}};
  const auto kind = kKinds.find(node.Text("kind"));
  if (kind == kKinds.end()) {
    throw BadField(node.At("kind") +
                   ": expected crash, lost, dark, slow or burst");
  }
  Fault fault;
  fault.kind = kind->second;
  fault.at = node.Ms("at_ms", fault.at);
  fault.length = node.Ms("length_ms", fault.length);
  fault.share = node.Number("share", fault.share);
  fault.factor = node.Number("factor", fault.factor);
  return fault;
}

Scenario ReadScenario(const Node& node) {
  Scenario scenario;
  scenario.name = node.Text("name");
  scenario.length = node.Ms("length_ms", scenario.length);
  scenario.lead = node.Ms("lead_ms", scenario.lead);
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
    throw BadField("requests, data_centres: expected at least one of each");
  }
  const Node retries = node.Child("retries");
  scenario.retries.ratio = retries.Number("ratio", scenario.retries.ratio);
  scenario.retries.extra = retries.Number("extra", scenario.retries.extra);
  scenario.retries.window = retries.Ms("window_ms", scenario.retries.window);
  scenario.SetUsualTokens();
  return scenario;
}

/// Mean of a value over the kinds of request, by their shares.
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
    return kind.prompt.mean + kind.answer.mean;
  });
}

double Scenario::mean_answer_tokens() const noexcept {
  return MeanOver(requests,
                  [](const RequestKind& kind) { return kind.answer.mean; });
}

void Scenario::SetUsualTokens() noexcept {
  engine.mean_output_tokens = mean_answer_tokens();
  engine.mean_prompt_tokens = mean_tokens() - mean_answer_tokens();
}

Result<Scenario> Scenario::Parse(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error) {
    return Failure{.code = Errc::kMalformed,
                   .where = "no JSON: " + error.message()};
  }
  try {
    return ReadScenario(Node(value, ""));
  } catch (const BadField& bad) {
    return Failure{.code = Errc::kMalformed, .where = bad.what()};
  }
}

}  // namespace sycamoreford::model
