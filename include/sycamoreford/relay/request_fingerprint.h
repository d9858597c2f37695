#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

/// Hash of a list of fields; differs if bytes move from one field to the next.
[[nodiscard]] std::uint64_t HashFields(
    std::initializer_list<std::string_view> fields);

/// Fingerprint of a request: its host, customer and content, which are the same
/// when a caller sends it again under another id, to any daemon.
///
/// \param customer empty for anonymous requests.
[[nodiscard]] RequestFingerprint FingerprintOf(const RelayRequest& request,
                                               std::string_view customer);

}  // namespace sycamoreford
