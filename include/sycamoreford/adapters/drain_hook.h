#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace sycamoreford {

/// Something to do in a planned stop after the last request was finished, for
/// example handing over a lease or writing out claims.
///
/// Hooks run one after another in the order in which they were added, within
/// one bound for all; one that throws does not keep the others from running.
struct DrainHook {
  /// Name for the log.
  std::string name;
  std::function<boost::asio::awaitable<void>()> run;
};

}  // namespace sycamoreford
