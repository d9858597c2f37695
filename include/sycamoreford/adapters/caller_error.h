#pragma once

#include <string>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// HTTP status that stands for an error.
[[nodiscard]] unsigned HttpStatusOf(Errc code) noexcept;

/// The JSON body that tells a caller of a failure; one line.
[[nodiscard]] std::string CallerErrorBody(const Failure& failure,
                                          const std::string& request_id);

/// The whole response that tells a caller of a failure.
[[nodiscard]] HttpResponse CallerError(const Failure& failure,
                                       const std::string& request_id);

}  // namespace sycamoreford
