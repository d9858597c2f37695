#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sycamoreford/config/configuration.h"

namespace sycamoreford {

/// Recognizes customers by API key.
///
/// A key that was recognized before costs one SHA-256; a key that comes for
/// the first time costs one for each customer; a key that was refused before
/// costs none. What is remembered are keyed hashes of API keys, bounded in
/// number; a remembered customer is always verified.
///
/// Thread safe. Its own lock is held only to read or write hints.
class CustomerKeys {
 public:
  CustomerKeys();

  /// Finds the customer whose API key this is; null when there is none.
  [[nodiscard]] const v1::Resource* Find(const ConfigurationPtr& config,
                                         const std::string& api_key);

 private:
  struct IndexEntry {
    const v1::Resource* customer = nullptr;
    std::string salt;
    std::array<unsigned char, 32> digest{};
  };
  /// The customers of one configuration, which it keeps alive.
  struct Index {
    ConfigurationPtr config;
    std::vector<IndexEntry> entries;
  };

  [[nodiscard]] std::shared_ptr<const Index> IndexOf(
      const ConfigurationPtr& config);
  [[nodiscard]] static bool Matches(const IndexEntry& entry,
                                    const std::string& api_key);

  std::mutex mutex_;
  std::uint64_t hash_seed_;
  std::shared_ptr<const Index> index_;
  /// Position in the index's entries, by keyed hash of API key.
  std::unordered_map<std::uint64_t, std::size_t> cached_indexes_;
  /// Keyed hashes of API keys that no customer has.
  std::unordered_set<std::uint64_t> rejected_hashes_;
};

}  // namespace sycamoreford
