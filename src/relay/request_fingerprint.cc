#include "sycamoreford/relay/request_fingerprint.h"

#include <xxhash.h>

namespace sycamoreford {

std::uint64_t HashFields(std::initializer_list<std::string_view> fields) {
  std::uint64_t hash = 0;
  for (const std::string_view field : fields) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  return hash;
}

RequestFingerprint FingerprintOf(const RelayRequest& request,
                                 std::string_view customer) {
  const std::uint64_t content = request.content_hash;
  return RequestFingerprint(
      HashFields({request.host, customer,
                  std::string_view(reinterpret_cast<const char*>(&content),
                                   sizeof(content))}));
}

}  // namespace sycamoreford
