#include "manifest.h"

namespace review {

boost::json::object Route(const std::string& prefix,
                          const std::string& service,
                          const std::string& kind) {
  return {{"Name", "r" + prefix}, {"Host", "ficu95.example"},
          {"PathPrefix", prefix}, {"Kind", kind},
          {"TimeoutMs", 20'000},  {"TargetLatencyMs", 500},
          {"Priority", 1},        {"Service", service},
          {"MaxAttempts", 2},     {"AllowAnonymous", true}};
}

boost::json::object Service(const std::string& name) {
  return {{"Name", name},
          {"HealthPath", "/health"},
          {"MaxConnections", 110},
          {"Protocol", "h1"},
          {"Tls", false}};
}

std::string Manifest(std::uint64_t version,
                     const boost::json::array& routes,
                     const boost::json::array& services,
                     const boost::json::array& tenants) {
  boost::json::object manifest = {
      {"Version", version},
      {"Routes", routes},
      {"Services", services},
      {"Limits", boost::json::object{{"MaxHeaderBytes", 16'384},
                                     {"MaxBodyBytes", 4'194'304},
                                     {"HeaderTimeoutMs", 3'000},
                                     {"IdleTimeoutMs", 15'000}}}};
  if (!tenants.empty()) {
    manifest["Tenants"] = tenants;
  }
  return boost::json::serialize(manifest);
}

}  // namespace review
