#include "sycamoreford/admission/customer_keys.h"

#include <optional>
#include <random>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>
#include <boost/algorithm/hex.hpp>

namespace sycamoreford {
namespace {

/// Maximum number of entries in each cache.
constexpr std::size_t kMaxCachedKeys = 4'096;

}  // namespace

CustomerKeys::CustomerKeys() {
  std::random_device device;
  hash_seed_ = (std::uint64_t{device()} << 32U) | device();
}

bool CustomerKeys::Matches(const IndexEntry& entry,
                           const std::string& api_key) {
  const std::string text = entry.salt + api_key;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return CRYPTO_memcmp(digest.data(), entry.digest.data(), digest.size()) == 0;
}

std::shared_ptr<const CustomerKeys::Index> CustomerKeys::IndexOf(
    const ConfigurationPtr& config) {
  const std::lock_guard lock(mutex_);
  if (index_ != nullptr && index_->config == config) {
    return index_;
  }
  auto index = std::make_shared<Index>();
  index->config = config;
  for (const v1::Resource* resource : config->List(v1::KIND_CUSTOMER)) {
    const v1::Customer& customer = resource->customer();
    IndexEntry entry{.customer = resource, .salt = customer.key_salt()};
    if (customer.key_sha256().size() != 2 * entry.digest.size()) {
      continue;
    }
    try {
      boost::algorithm::unhex(customer.key_sha256(), entry.digest.begin());
    } catch (const boost::algorithm::hex_decode_error&) {
      continue;
    }
    index->entries.push_back(std::move(entry));
  }
  if (index_ == nullptr || index_->config->revision() <= config->revision()) {
    index_ = index;
    cached_matches_.clear();
    rejected_hashes_.clear();
  }
  return index;
}

const v1::Resource* CustomerKeys::Find(const ConfigurationPtr& config,
                                       const std::string& api_key) {
  const std::shared_ptr<const Index> index = IndexOf(config);
  const std::uint64_t hash =
      XXH3_64bits_withSeed(api_key.data(), api_key.size(), hash_seed_);
  std::optional<std::size_t> cached;
  {
    const std::lock_guard lock(mutex_);
    const auto found = cached_matches_.find(hash);
    if (index_ == index && found != cached_matches_.end()) {
      cached = found->second;
    } else if (index_ == index && rejected_hashes_.contains(hash)) {
      return nullptr;
    }
  }
  if (cached && Matches(index->entries[*cached], api_key)) {
    return index->entries[*cached].customer;
  }
  // Compares all entries, so that the response time does not reveal which one
  // matched.
  std::optional<std::size_t> match;
  for (std::size_t i = 0; i < index->entries.size(); ++i) {
    if (Matches(index->entries[i], api_key)) {
      match = i;
    }
  }
  const std::lock_guard lock(mutex_);
  if (!match) {
    if (index_ == index) {
      if (rejected_hashes_.size() >= kMaxCachedKeys) {
        rejected_hashes_.clear();
      }
      rejected_hashes_.insert(hash);
    }
    return nullptr;
  }
  if (index_ == index && cached_matches_.size() < kMaxCachedKeys) {
    cached_matches_[hash] = *match;
  }
  return index->entries[*match].customer;
}

}  // namespace sycamoreford
