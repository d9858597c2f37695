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

/// A log-normal distribution of token counts, clamped to `max`. It is constant
/// when the coefficient of variation is 0.
struct TokenDistribution {
  double mean = 0;
  /// Standard deviation divided by the mean.
  double coefficient_of_variation = 0;
  double max = 0;
};

/// One kind of request.
struct RequestKind {
  std::string name;
  /// Weight of this kind among all requests.
  double share = 1;
  TokenDistribution prompt;
  TokenDistribution output;
  /// Payoff of a request of mean size when it is served on time, and when it is
  /// served late.
  double on_time_payoff = 1;
  double late_payoff = 0.25;
  /// A request is on time when its first event takes at most `target_latency`
  /// and no pause between two events exceeds `max_pause`.
  std::chrono::milliseconds target_latency{500};
  std::chrono::milliseconds max_pause{200};
  std::chrono::milliseconds time_limit{20'000};
  std::uint32_t max_attempts = 2;
  /// Max times that a caller retries after a refusal.
  std::uint32_t max_caller_retries = 1;
};

/// A data centre with its daemons, callers and accelerators.
struct DataCentreSpec {
  std::string name;
  std::uint32_t daemons = 3;
  double requests_per_second = 0;
  /// Number of accelerators by the name of their kind.
  std::map<std::string, std::uint32_t> accelerators;
};

/// A fault of some accelerators, or a burst of load.
struct Fault {
  enum class Kind {
    /// Accelerators crash and restart without layers after `duration`.
    kCrash,
    /// Accelerators crash and do not come back.
    kPermanentCrash,
    /// Accelerators do not respond for `duration` and keep their layers.
    kUnresponsive,
    /// Accelerators take `factor` times as long.
    kSlow,
    /// Callers send `factor` times as many requests.
    kBurst,
  };
  Kind kind = Kind::kCrash;
  /// Time from the start of the load.
  std::chrono::milliseconds start{0};
  std::chrono::milliseconds duration{0};
  /// Share of the live accelerators that are hit; at least one is.
  double share = 0;
  double factor = 1;
};

/// Input of a simulation: a deployment, its load and its faults.
struct Scenario {
  std::string name;
  std::chrono::milliseconds duration{34'000};
  /// Time for layer loads before the first request; loads take a tenth of their
  /// normal time during it.
  std::chrono::milliseconds warm_up{8'000};
  EngineProfile engine;
  EngineCosts costs;
  std::vector<RequestKind> requests;
  std::vector<DataCentreSpec> data_centres;
  std::vector<Fault> faults;
  RetryLimits retries;

  [[nodiscard]] double requests_per_second() const noexcept;
  /// Mean prompt plus output tokens over all kinds of request.
  [[nodiscard]] double mean_tokens() const noexcept;
  [[nodiscard]] double mean_output_tokens() const noexcept;
  /// Sets the engine's mean token counts to those of the kinds of request.
  void SetMeanTokens() noexcept;

  /// Parses JSON with comments; optional fields that are absent keep their
  /// defaults.
  ///
  /// \returns `kMalformed` with the cause and the field's path for text that is
  ///     not JSON and for a field that is missing, of another type or out of
  ///     range.
  [[nodiscard]] static Result<Scenario> Parse(std::string_view text);

  /// Generates a random deployment with faults and a load that is a small share
  /// of its upper bound, but near what its accelerators can serve. Equal seeds
  /// give equal scenarios.
  [[nodiscard]] static Scenario GenerateRandom(std::uint64_t seed);
};

}  // namespace sycamoreford::model
