#pragma once

#include <string>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// HTTP status code for an error code.
[[nodiscard]] unsigned HttpStatusOf(Errc code) noexcept;

/// JSON body of an error response, on one line.
[[nodiscard]] std::string CallerErrorBody(const Failure& failure,
                                          const std::string& request_id);

/// Complete error response, with `retry-after` if the failure has one.
[[nodiscard]] HttpResponse CallerError(const Failure& failure,
                                       const std::string& request_id);

}  // namespace sycamoreford
