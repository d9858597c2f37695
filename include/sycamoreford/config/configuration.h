#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/v1/config.pb.h"

namespace sycamoreford {

/// Kind and name of a resource.
using ResourceKey = std::pair<v1::Kind, std::string>;

/// The complete configuration at one revision. Immutable once shared.
///
/// Thread safety: const methods may be called from any thread.
class Configuration {
 public:
  /// Creates the empty configuration, at revision 0.
  Configuration() = default;

  /// Builds a configuration from a snapshot.
  ///
  /// \returns the configuration, or `kInvalidChange` when the snapshot is not
  ///     valid or its digest does not match its content.
  [[nodiscard]] static Result<Configuration> FromSnapshot(
      const v1::Snapshot& snapshot);

  /// Applies all edits of `change` to a copy.
  ///
  /// \returns the next configuration, complete and validated. Errors:
  ///     `kConflict` when the change's revision is not the next one or an
  ///     edit's expected revision differs; `kAlreadyExists`; `kNotFound`;
  ///     `kInvalidChange` with the invalid field in `where`.
  [[nodiscard]] Result<Configuration> Apply(const v1::Change& change) const;

  [[nodiscard]] Revision revision() const noexcept { return revision_; }

  /// Digest of the revision and the content; equal on all daemons.
  [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

  /// Finds a resource; null when there is none.
  [[nodiscard]] const v1::Resource* Find(v1::Kind kind,
                                         const std::string& name) const;

  /// All resources of a kind, or of every kind for `KIND_UNSPECIFIED`, sorted
  /// by kind and name.
  [[nodiscard]] std::vector<const v1::Resource*> List(v1::Kind kind) const;

  /// This configuration as a protobuf message.
  [[nodiscard]] v1::Snapshot ToSnapshot() const;

  /// Finds the customer with this API key; null when there is none.
  [[nodiscard]] const v1::Resource* FindCustomerByKey(
      const std::string& api_key) const;

 private:
  [[nodiscard]] std::optional<Failure> ApplyEdit(const v1::Edit& edit,
                                                 std::size_t index);
  [[nodiscard]] std::optional<Failure> Validate() const;
  void ComputeDigest();

  Revision revision_{};
  std::uint64_t digest_ = 0;
  std::map<ResourceKey, v1::Resource> resources_;
};

/// A shared, immutable configuration.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Kind of a resource's content.
[[nodiscard]] v1::Kind KindOf(const v1::Resource& resource) noexcept;

/// Lower-case hex of SHA-256 of `salt` followed by `secret`.
[[nodiscard]] std::string HashSecret(const std::string& salt,
                                     const std::string& secret);

}  // namespace sycamoreford
