#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace sycamoreford {

/// Wraps a `T` in a type that is distinct for each `Tag`, so that different
/// kinds of identifiers cannot be confused.
///
/// \code
/// using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Revision next{head.value() + 1};
/// \endcode
///
/// Thread safety: as for `T`.
template <class Tag, class T>
class StrongId {
 public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(T value) : value_(std::move(value)) {}

  [[nodiscard]] constexpr const T& value() const noexcept { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  T value_{};
};

/// Identifier of a caller's request; unique across all daemons.
using RequestId = StrongId<struct RequestIdTag, std::string>;
/// Name of a customer resource in the configuration.
using CustomerId = StrongId<struct CustomerIdTag, std::string>;
/// Name of an endpoint within its pool.
using EndpointId = StrongId<struct EndpointIdTag, std::string>;
/// Number of an attempt to execute a request; the first is 1.
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/// Revision of the configuration; 0 is the empty configuration.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Fencing token of a lease; each new holder gets a higher one.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// Identifier of a part of a prompt that several requests may share.
using PromptPartId = StrongId<struct PromptPartIdTag, std::uint64_t>;
/// Hash of what makes up a request; the same whenever the request comes again.
using RequestFingerprint =
    StrongId<struct RequestFingerprintTag, std::uint64_t>;
/// Index of a token in an answer; the first is 0.
using TokenPosition = StrongId<struct TokenPositionTag, std::uint32_t>;

}  // namespace sycamoreford

template <class Tag, class T>
struct std::hash<sycamoreford::StrongId<Tag, T>> {
  std::size_t operator()(
      const sycamoreford::StrongId<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.value());
  }
};
