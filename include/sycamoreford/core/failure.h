#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <system_error>

#include <boost/system/result.hpp>

#include "sycamoreford/core/errc.h"
#include "sycamoreford/core/outcome.h"

namespace sycamoreford {

/// A failure: what went wrong, where, and what is known of the work.
struct Failure {
  Errc code = Errc::kInternal;
  Outcome outcome = Outcome::kNotRun;
  /// Place in the input, or the part of the system; never secrets.
  std::string where{};
  /// When to come back; set where coming back can help.
  std::optional<std::chrono::milliseconds> retry_after{};

  [[nodiscard]] std::error_code error_code() const noexcept {
    return make_error_code(code);
  }
};

/// Either a value or a `Failure`.
template <class T>
using Result = boost::system::result<T, Failure>;

/// Called by `Result::value()` when it holds a failure.
[[noreturn]] void throw_exception_from_error(
    const Failure& failure,
    const boost::source_location& location);

}  // namespace sycamoreford
