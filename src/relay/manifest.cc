#include "sycamoreford/relay/manifest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamoreford {

const RelayRoute* Manifest::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto routes = routes_by_host_.find(host.substr(0, host.find(':')));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of `path` up to and including
  // a slash can match.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found = routes->second.find(path.substr(0, slash + 1));
    if (found != routes->second.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

const RelayCustomer* Manifest::FindCustomer(std::string_view api_key) const {
  const auto found = customer_by_key_.find(api_key);
  return found == customer_by_key_.end() ? nullptr : &customers_[found->second];
}

const RelayService* Manifest::FindService(std::string_view name) const {
  const auto found =
      std::find_if(services_.begin(), services_.end(),
                   [&](const RelayService& it) { return it.name == name; });
  return found == services_.end() ? nullptr : &*found;
}

std::uint32_t Manifest::RankOf(const RelayRoute& route,
                               const RelayCustomer* customer) const {
  const std::uint32_t first = customer == nullptr
                                  ? route.priority
                                  : customer->priority.value_or(route.priority);
  return static_cast<std::uint32_t>(std::distance(
      priorities_.begin(), priorities_.lower_bound({first, route.priority})));
}

Manifest::Builder::Builder(std::uint64_t revision) : manifest_(new Manifest()) {
  manifest_->revision_ = revision;
}

Manifest::Builder& Manifest::Builder::SetSource(std::string text) {
  manifest_->source_ = std::move(text);
  return *this;
}

Manifest::Builder& Manifest::Builder::SetLimits(CallerLimits limits) {
  manifest_->limits_ = limits;
  return *this;
}

Manifest::Builder& Manifest::Builder::AddRoute(RelayRoute route) {
  auto& routes = manifest_->routes_by_host_[route.host];
  std::string prefix = route.path_prefix;
  routes.insert_or_assign(std::move(prefix), std::move(route));
  ++manifest_->route_count_;
  return *this;
}

Manifest::Builder& Manifest::Builder::AddService(RelayService service) {
  manifest_->services_.push_back(std::move(service));
  return *this;
}

Manifest::Builder& Manifest::Builder::AddCustomer(RelayCustomer customer) {
  for (const std::string& key : customer.api_keys) {
    manifest_->customer_by_key_[key] = manifest_->customers_.size();
  }
  manifest_->customers_.push_back(std::move(customer));
  return *this;
}

void Manifest::Builder::FindRankedServices() {
  std::map<std::string, std::set<std::uint32_t>> ranks;
  for (const auto& [host, routes] : manifest_->routes_by_host_) {
    for (const auto& [prefix, route] : routes) {
      for (const WeightedService& share : route.services) {
        ranks[share.service].insert(route.priority);
      }
    }
  }
  for (const auto& [service, known] : ranks) {
    if (known.size() > 1) {
      manifest_->ranked_services_.insert(service);
    }
  }
}

void Manifest::Builder::FindPriorities() {
  std::set<std::optional<std::uint32_t>> of_customers = {std::nullopt};
  for (const RelayCustomer& customer : manifest_->customers_) {
    of_customers.insert(customer.priority);
  }
  for (const auto& [host, routes] : manifest_->routes_by_host_) {
    for (const auto& [prefix, route] : routes) {
      for (const auto& of_customer : of_customers) {
        manifest_->priorities_.emplace(of_customer.value_or(route.priority),
                                       route.priority);
      }
    }
  }
}

std::shared_ptr<const Manifest> Manifest::Builder::Build() {
  FindRankedServices();
  FindPriorities();
  return std::exchange(manifest_, nullptr);
}

}  // namespace sycamoreford
