#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamoreford/relay/engine_profile.h"

namespace sycamoreford {

/// How a failed request may be retried.
enum class RetryPolicy {
  /// The request may run any number of times.
  kIdempotent,
  /// The request must not run more than once.
  kAtMostOnce,
  /// The response is an event stream that another endpoint may resume after the
  /// last delivered event.
  kResumable,
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route: which requests it matches and how they are served.
struct RelayRoute {
  std::string name;
  /// Host name without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  /// Whether responses are event streams.
  bool streams = false;
  /// Maximum time until the response is complete.
  std::chrono::milliseconds time_limit{30'000};
  /// Target for the time to the first byte of the response.
  std::chrono::milliseconds target_latency{500};
  /// Longest pause between two events with which a stream is still on time.
  std::chrono::milliseconds target_pause{200};
  /// Maximum number of endpoints that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Whether requests need no API key.
  bool allows_anonymous = false;
  std::vector<WeightedService> services;
};

/// One service behind the router.
struct RelayService {
  std::string name;
  /// Set for model services, whose endpoints run layers of a model; unset for
  /// plain services.
  std::optional<EngineProfile> engine;
};

/// A customer and the API keys that identify it.
struct RelayCustomer {
  std::string name;
  std::vector<std::string> api_keys;
  /// Overrides the route's priority when set; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
};

/// Limits on requests and connections of callers.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U * 1024;
  std::uint64_t max_body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// One revision of the configuration declared by operators; immutable once
/// built.
///
/// Thread safety: const methods may be called from any thread.
class Manifest {
 public:
  class Builder;

  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// The text that the manifest was decoded from; empty if it was built
  /// otherwise.
  [[nodiscard]] const std::string& source() const noexcept { return source_; }
  [[nodiscard]] const CallerLimits& limits() const noexcept { return limits_; }
  [[nodiscard]] const std::vector<RelayService>& services() const noexcept {
    return services_;
  }
  [[nodiscard]] std::size_t route_count() const noexcept {
    return route_count_;
  }

  /// Returns the route of the host whose prefix is the longest match for
  /// `path`.
  ///
  /// \param host host name; a port after a colon is ignored.
  /// \param path path of the request, without the query.
  /// \returns null when no route matches.
  [[nodiscard]] const RelayRoute* FindRoute(std::string_view host,
                                            std::string_view path) const;

  /// Returns the customer with this API key, or null if the key is unknown.
  [[nodiscard]] const RelayCustomer* FindCustomer(
      std::string_view api_key) const;

  /// Whether any customers, and thus API keys, are declared.
  [[nodiscard]] bool has_customers() const noexcept {
    return !customers_.empty();
  }

  /// Position of a request in the order of urgency of all combinations of
  /// customers' and routes' priorities, from 0. The priority of a customer
  /// takes precedence over that of the route.
  ///
  /// \param customer null for anonymous requests.
  [[nodiscard]] std::uint32_t RankOf(const RelayRoute& route,
                                     const RelayCustomer* customer) const;

  /// Whether the routes of this service have several ranks.
  [[nodiscard]] bool HasSeveralRanks(const std::string& service) const {
    return ranked_services_.contains(service);
  }

  /// Returns the service of this name, or null if it isn't declared.
  [[nodiscard]] const RelayService* FindService(std::string_view name) const;

 private:
  Manifest() = default;

  std::uint64_t revision_ = 0;
  std::string source_;
  CallerLimits limits_;
  std::vector<RelayService> services_;
  std::size_t route_count_ = 0;
  /// Routes by host and path prefix.
  std::map<std::string,
           std::map<std::string, RelayRoute, std::less<>>,
           std::less<>>
      routes_by_host_;
  std::vector<RelayCustomer> customers_;
  std::map<std::string, std::size_t, std::less<>> customer_by_key_;
  /// All priorities of routes, and with them those that precede them, in
  /// ascending order.
  std::set<std::pair<std::uint32_t, std::uint32_t>> priorities_;
  /// Names of the services with several ranks.
  std::set<std::string> ranked_services_;
};

/// Builds a manifest.
///
/// Precondition of all methods: `Build` was not called yet.
///
/// Thread safety: none.
class Manifest::Builder {
 public:
  explicit Builder(std::uint64_t revision);
  Builder& SetSource(std::string text);
  Builder& SetLimits(CallerLimits limits);
  Builder& AddRoute(RelayRoute route);
  Builder& AddService(RelayService service);
  Builder& AddCustomer(RelayCustomer customer);
  /// Returns the manifest. The builder can't be used afterwards.
  [[nodiscard]] std::shared_ptr<const Manifest> Build();

 private:
  /// Finds the services with several ranks.
  void FindRankedServices();
  /// Finds the combinations of customers' and routes' priorities.
  void FindPriorities();

  std::shared_ptr<Manifest> manifest_;
};

}  // namespace sycamoreford
