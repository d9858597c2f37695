#include "sycamoreford/config/configuration.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "impl/validate_configuration.h"

namespace sycamoreford {

v1::Kind KindOf(const v1::Resource& resource) noexcept {
  switch (resource.content_case()) {
    case v1::Resource::kRoute:
      return v1::KIND_ROUTE;
    case v1::Resource::kServiceRoute:
      return v1::KIND_SERVICE_ROUTE;
    case v1::Resource::kCustomer:
      return v1::KIND_CUSTOMER;
    case v1::Resource::kPriority:
      return v1::KIND_PRIORITY;
    case v1::Resource::kPool:
      return v1::KIND_POOL;
    case v1::Resource::kModelVersion:
      return v1::KIND_MODEL_VERSION;
    case v1::Resource::kAdapter:
      return v1::KIND_ADAPTER;
    case v1::Resource::CONTENT_NOT_SET:
      return v1::KIND_UNSPECIFIED;
  }
  return v1::KIND_UNSPECIFIED;
}

std::string HashSecret(const std::string& salt, const std::string& secret) {
  const std::string text = salt + secret;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  static constexpr std::string_view kHex = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : digest) {
    hex += kHex[byte >> 4U];
    hex += kHex[byte & 0xFU];
  }
  return hex;
}

Result<Configuration> Configuration::FromSnapshot(
    const v1::Snapshot& snapshot) {
  Configuration next;
  next.revision_ = Revision(snapshot.revision());
  for (const v1::Resource& resource : snapshot.resources()) {
    if (!next.resources_
             .try_emplace({KindOf(resource), resource.name()}, resource)
             .second) {
      return Failure{.code = Errc::kInvalidChange,
                     .where = "snapshot.resources"};
    }
  }
  if (std::optional<Failure> failure = next.Validate()) {
    return *failure;
  }
  next.ComputeDigest();
  if (next.digest_ != snapshot.digest()) {
    return Failure{.code = Errc::kInvalidChange, .where = "snapshot.digest"};
  }
  return next;
}

Result<Configuration> Configuration::Apply(const v1::Change& change) const {
  if (change.revision() != revision_.value() + 1) {
    return Failure{.code = Errc::kConflict, .where = "revision"};
  }
  if (change.edits().empty()) {
    return Failure{.code = Errc::kInvalidChange, .where = "edits"};
  }
  Configuration next = *this;
  next.revision_ = Revision(change.revision());
  for (int i = 0; i < change.edits_size(); ++i) {
    if (std::optional<Failure> failure =
            next.ApplyEdit(change.edits(i), static_cast<std::size_t>(i))) {
      return *failure;
    }
  }
  if (std::optional<Failure> failure = next.Validate()) {
    return *failure;
  }
  next.ComputeDigest();
  return next;
}

std::optional<Failure> Configuration::ApplyEdit(const v1::Edit& edit,
                                                std::size_t index) {
  const std::string where = "edits[" + std::to_string(index) + "]";
  const auto fail = [&](Errc code, const std::string& field) {
    return Failure{.code = code, .where = where + field};
  };
  const std::string& name = edit.resource().name();
  if (edit.kind() == v1::KIND_UNSPECIFIED) {
    return fail(Errc::kInvalidChange, ".kind");
  }
  const bool deletes = edit.verb() == v1::Edit::VERB_DELETE;
  if (!deletes && KindOf(edit.resource()) != edit.kind()) {
    return fail(Errc::kInvalidChange, ".resource.content");
  }
  const auto found = resources_.find({edit.kind(), name});
  const bool exists = found != resources_.end();
  if (edit.expected_revision() != 0 &&
      (!exists || found->second.revision() != edit.expected_revision())) {
    return fail(Errc::kConflict, ".expected_revision");
  }
  switch (edit.verb()) {
    case v1::Edit::VERB_CREATE:
      if (exists) {
        return fail(Errc::kAlreadyExists, ".resource.name");
      }
      break;
    case v1::Edit::VERB_UPDATE:
    case v1::Edit::VERB_DELETE:
      if (!exists) {
        return fail(Errc::kNotFound, ".resource.name");
      }
      break;
    case v1::Edit::VERB_PUT:
      break;
    default:
      return fail(Errc::kInvalidChange, ".verb");
  }
  if (deletes) {
    resources_.erase(found);
    return std::nullopt;
  }
  v1::Resource resource = edit.resource();
  resource.set_revision(revision_.value());
  resources_[{edit.kind(), name}] = std::move(resource);
  return std::nullopt;
}

std::optional<Failure> Configuration::Validate() const {
  return impl::ValidateConfiguration(*this);
}

void Configuration::ComputeDigest() {
  XXH64_state_t* state = XXH64_createState();
  XXH64_reset(state, revision_.value());
  for (const auto& [key, resource] : resources_) {
    const std::string bytes = resource.SerializeAsString();
    const std::uint64_t size = bytes.size();
    XXH64_update(state, &size, sizeof(size));
    XXH64_update(state, bytes.data(), bytes.size());
  }
  digest_ = XXH64_digest(state);
  XXH64_freeState(state);
}

const v1::Resource* Configuration::Find(v1::Kind kind,
                                        const std::string& name) const {
  const auto found = resources_.find({kind, name});
  return found == resources_.end() ? nullptr : &found->second;
}

std::vector<const v1::Resource*> Configuration::List(v1::Kind kind) const {
  std::vector<const v1::Resource*> listed;
  for (const auto& [key, resource] : resources_) {
    if (kind == v1::KIND_UNSPECIFIED || key.first == kind) {
      listed.push_back(&resource);
    }
  }
  return listed;
}

v1::Snapshot Configuration::ToSnapshot() const {
  v1::Snapshot snapshot;
  snapshot.set_revision(revision_.value());
  snapshot.set_digest(digest_);
  for (const auto& [key, resource] : resources_) {
    *snapshot.add_resources() = resource;
  }
  return snapshot;
}

const v1::Resource* Configuration::FindCustomerByKey(
    const std::string& api_key) const {
  const v1::Resource* match = nullptr;
  for (const v1::Resource* resource : List(v1::KIND_CUSTOMER)) {
    const v1::Customer& customer = resource->customer();
    const std::string hash = HashSecret(customer.key_salt(), api_key);
    if (hash.size() == customer.key_sha256().size() &&
        CRYPTO_memcmp(hash.data(), customer.key_sha256().data(), hash.size()) ==
            0) {
      match = resource;
    }
  }
  return match;
}

}  // namespace sycamoreford
