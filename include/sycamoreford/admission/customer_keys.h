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

/// Finds customers by API key.
///
/// Looking up a cached key computes one SHA-256; a new key computes one for
/// each customer; a key that is cached as unknown computes none. The caches are
/// bounded and hold seeded hashes of API keys instead of the keys. Since
/// these hashes can collide, a cached match is always verified by SHA-256.
///
/// Thread safe. The lock is held only to access the caches and to build the
/// index, not to compute SHA-256.
class CustomerKeys {
 public:
  CustomerKeys();

  /// Finds the customer with this API key; null if there is none. The result
  /// lives as long as `config`.
  [[nodiscard]] const v1::Resource* Find(const ConfigurationPtr& config,
                                         const std::string& api_key);

 private:
  struct IndexEntry {
    const v1::Resource* customer = nullptr;
    std::string salt;
    std::array<unsigned char, 32> digest{};
  };
  /// Salts and key digests of the customers of one configuration. Keeps the
  /// configuration alive.
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
  /// Position of the matching entry in `index_->entries`, by seeded hash of API
  /// key.
  std::unordered_map<std::uint64_t, std::size_t> cached_matches_;
  /// Seeded hashes of API keys that no customer has.
  std::unordered_set<std::uint64_t> rejected_hashes_;
};

}  // namespace sycamoreford
