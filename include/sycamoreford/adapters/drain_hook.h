#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace sycamoreford {

/// Action of a planned stop that runs after the last request has finished, for
/// example releasing leases or storing claims.
///
/// Hooks run sequentially in the order in which they were added, with one
/// deadline for all of them. If a hook throws, the remaining hooks still run.
struct DrainHook {
  /// Name in log events.
  std::string name;
  std::function<boost::asio::awaitable<void>()> run;
};

}  // namespace sycamoreford
