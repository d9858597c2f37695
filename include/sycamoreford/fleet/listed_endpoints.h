#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/fleet/endpoint_record.h"

namespace sycamoreford {

/// The list of endpoints as it stands in the store, without what requests
/// observed. Two daemons whose digests are equal have the same list.
///
/// Thread safety: none.
class ListedEndpoints {
 public:
  /// Adds or replaces an entry.
  ///
  /// \returns whether it has changed.
  bool Set(const EndpointRecord& record);

  /// Removes an entry.
  ///
  /// \returns whether there was one.
  bool Remove(const std::string& id);

  /// Ids of all entries.
  [[nodiscard]] std::vector<std::string> Ids() const;

  /// Sum of the hashes of all entries.
  [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

 private:
  std::map<std::string, EndpointRecord, std::less<>> records_;
  std::uint64_t digest_ = 0;
};

}  // namespace sycamoreford
