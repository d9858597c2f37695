#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <system_error>

#include <boost/system/result.hpp>

#include "sycamoreford/core/errc.h"
#include "sycamoreford/core/outcome.h"

namespace sycamoreford {

/// Describes a failed operation: the error, its location, and whether the
/// request was executed.
struct Failure {
  Errc code = Errc::kInternal;
  Outcome outcome = Outcome::kNotRun;
  /// Position in the input, or the component that failed; contains no secrets.
  std::string where{};
  /// Delay before a retry; set only if a retry can succeed.
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
