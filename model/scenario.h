#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "engine_costs.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/relay/engine_profile.h"
#include "sycamoreford/relay/fleet_retry_budget.h"

namespace sycamoreford::model {

/// A distribution of token counts: log-normal, cut off at `most`.
struct TokenDistribution {
  double mean = 0;
  /// Standard deviation over the mean.
  double coefficient_of_variation = 0;
  double max = 0;
};

/// One kind of request.
struct RequestKind {
  std::string name;
  /// Part of all requests.
  double share = 1;
  TokenDistribution prompt;
  TokenDistribution output;
  /// What an answer in time, and one that is late, is worth.
  double on_time_payoff = 1;
  double late_payoff = 0.25;
  std::chrono::milliseconds target_latency{500};
  std::chrono::milliseconds longest_pause{200};
  std::chrono::milliseconds time_limit{20'000};
  std::uint32_t max_attempts = 2;
  /// Times that a caller comes back after a refusal.
  std::uint32_t max_caller_retries = 1;
};

/// A data centre with its daemons, callers and cards.
struct DataCentreSpec {
  std::string name;
  std::uint32_t daemons = 3;
  double requests_per_second = 0;
  /// Cards by the name of their kind.
  std::map<std::string, std::uint32_t> accelerators;
};

/// A disturbance of the cards or the load.
struct Fault {
  enum class Kind {
    /// Cards end and come back empty.
    kCrash,
    /// Cards end for good.
    kPermanentCrash,
    /// Cards answer nothing for a while and keep their layers.
    kUnresponsive,
    /// Cards take `factor` times as long.
    kSlow,
    /// Callers send `factor` times as many requests.
    kBurst,
  };
  Kind kind = Kind::kCrash;
  /// From the start of the load.
  std::chrono::milliseconds start{0};
  std::chrono::milliseconds duration{0};
  /// Part of all cards, at least one.
  double share = 0;
  double factor = 1;
};

/// What is played: an installation, its load and its faults.
struct Scenario {
  std::string name;
  std::chrono::milliseconds duration{34'000};
  /// Time for loads before the first request; they take a tenth of theirs.
  std::chrono::milliseconds warm_up{8'000};
  EngineProfile engine;
  EngineCosts costs;
  std::vector<RequestKind> requests;
  std::vector<DataCentreSpec> data_centres;
  std::vector<Fault> faults;
  RetryLimits retries;

  [[nodiscard]] double requests_per_second() const noexcept;
  /// Mean tokens of prompt and answer over all kinds of request.
  [[nodiscard]] double mean_tokens() const noexcept;
  [[nodiscard]] double mean_output_tokens() const noexcept;
  /// Sets the engine's usual tokens to those of the kinds of request.
  void SetMeanTokens() noexcept;

  /// Reads JSON with comments; fields that are absent keep their defaults.
  ///
  /// \returns `kMalformed` with the place for text that is no JSON, and for a
  ///     field that is missing, of another type or out of its range.
  [[nodiscard]] static Result<Scenario> Parse(std::string_view text);

  /// Draws an installation with a load near what its cards can carry, and with
  /// faults; equal seeds give equal scenarios.
  [[nodiscard]] static Scenario GenerateRandom(std::uint64_t seed);
};

}  // namespace sycamoreford::model
