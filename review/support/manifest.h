#pragma once

#include <cstdint>
#include <string>

#include <boost/json.hpp>

namespace review {

/// A route of a plain service without keys.
boost::json::object Route(const std::string& prefix,
                          const std::string& service,
                          const std::string& kind = "safe");

/// A plain service.
boost::json::object Service(const std::string& name);

/// A manifest as the operator writes it.
std::string Manifest(std::uint64_t version,
                     const boost::json::array& routes,
                     const boost::json::array& services,
                     const boost::json::array& tenants = {});

}  // namespace review
