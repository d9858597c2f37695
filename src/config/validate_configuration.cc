#include "impl/validate_configuration.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

#include <boost/asio/ip/address.hpp>

#include "sycamoreford/config/configuration.h"

namespace sycamoreford::impl {
namespace {

constexpr std::size_t kMaxNameLength = 128;

std::optional<Failure> Invalid(const v1::Resource& resource,
                               const std::string& field) {
  return Failure{.code = Errc::kInvalidChange,
                 .where = resource.name() + "." + field};
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
                  c == ':' || c == '@';
         });
}

bool IsHexDigest(const std::string& text) {
  constexpr std::size_t kSha256HexLength = 64;
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(address.substr(0, colon), error);
  const std::string port = address.substr(colon + 1);
  return !error && !port.empty() && port.size() <= 5 &&
         port.find_first_not_of("0123456789") == std::string::npos &&
         std::stoi(port) > 0 && std::stoi(port) <= 65535;
}

bool IsRate(double rate) {
  return std::isfinite(rate) && rate >= 0;
}

class Validator {
 public:
  explicit Validator(const Configuration& configuration)
      : configuration_(configuration) {}

  [[nodiscard]] std::optional<Failure> Check(const v1::Resource& r) const {
    if (!IsName(r.name())) {
      return Invalid(r, "name");
    }
    switch (r.content_case()) {
      case v1::Resource::kRoute:
        return CheckRoute(r);
      case v1::Resource::kServiceRoute:
        return Exists(v1::KIND_POOL, r.service_route().pool())
                   ? std::nullopt
                   : Invalid(r, "service_route.pool");
      case v1::Resource::kCustomer:
        return CheckCustomer(r);
      case v1::Resource::kPriority:
        return std::nullopt;
      case v1::Resource::kPool:
        return CheckPool(r);
      case v1::Resource::kModelVersion:
        return r.model_version().layers() > 0
                   ? std::nullopt
                   : Invalid(r, "model_version.layers");
      case v1::Resource::kAdapter:
        return Exists(v1::KIND_MODEL_VERSION, r.adapter().model_version())
                   ? std::nullopt
                   : Invalid(r, "adapter.model_version");
      case v1::Resource::CONTENT_NOT_SET:
        return Invalid(r, "content");
    }
    return Invalid(r, "content");
  }

 private:
  [[nodiscard]] bool Exists(v1::Kind kind, const std::string& name) const {
    return configuration_.Find(kind, name) != nullptr;
  }

  [[nodiscard]] std::optional<Failure> CheckRoute(const v1::Resource& r) const {
    const v1::Route& route = r.route();
    if (!Exists(v1::KIND_POOL, route.pool())) {
      return Invalid(r, "route.pool");
    }
    if (!Exists(v1::KIND_MODEL_VERSION, route.model_version())) {
      return Invalid(r, "route.model_version");
    }
    if (route.adapter().empty()) {
      return std::nullopt;
    }
    const v1::Resource* adapter =
        configuration_.Find(v1::KIND_ADAPTER, route.adapter());
    if (adapter == nullptr ||
        adapter->adapter().model_version() != route.model_version()) {
      return Invalid(r, "route.adapter");
    }
    return std::nullopt;
  }

  [[nodiscard]] std::optional<Failure> CheckCustomer(
      const v1::Resource& r) const {
    const v1::Customer& customer = r.customer();
    if (!Exists(v1::KIND_PRIORITY, customer.priority())) {
      return Invalid(r, "customer.priority");
    }
    if (customer.key_salt().empty()) {
      return Invalid(r, "customer.key_salt");
    }
    if (!IsHexDigest(customer.key_sha256())) {
      return Invalid(r, "customer.key_sha256");
    }
    return std::nullopt;
  }

  [[nodiscard]] static std::optional<Failure> CheckPool(const v1::Resource& r) {
    std::set<std::string> names;
    for (int i = 0; i < r.pool().endpoints_size(); ++i) {
      const v1::Endpoint& endpoint = r.pool().endpoints(i);
      const std::string where = "pool.endpoints[" + std::to_string(i) + "].";
      if (!IsName(endpoint.name()) || !names.insert(endpoint.name()).second) {
        return Invalid(r, where + "name");
      }
      if (!IsAddress(endpoint.address())) {
        return Invalid(r, where + "address");
      }
      if (endpoint.end_layer() < endpoint.first_layer()) {
        return Invalid(r, where + "end_layer");
      }
      if (!IsRate(endpoint.tokens_per_second())) {
        return Invalid(r, where + "tokens_per_second");
      }
      if (!IsRate(endpoint.link_bytes_per_second())) {
        return Invalid(r, where + "link_bytes_per_second");
      }
    }
    return std::nullopt;
  }

  const Configuration& configuration_;
};

}  // namespace

std::optional<Failure> ValidateConfiguration(
    const Configuration& configuration) {
  const Validator validator(configuration);
  for (const v1::Resource* resource :
       configuration.List(v1::KIND_UNSPECIFIED)) {
    if (std::optional<Failure> failure = validator.Check(*resource)) {
      return failure;
    }
  }
  return std::nullopt;
}

}  // namespace sycamoreford::impl
