#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace sycamoreford {

/// A value of type `T` that cannot be mixed with values of another `Tag`.
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

/// Identity of one request of a caller; unique over all daemons.
using RequestId = StrongId<struct RequestIdTag, std::string>;
/// Name of a customer resource.
using CustomerId = StrongId<struct CustomerIdTag, std::string>;
/// Name of an endpoint within its pool.
using EndpointId = StrongId<struct EndpointIdTag, std::string>;
/// Number of an attempt at a request; the first is 1.
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/// Revision of the configuration; 0 is the empty configuration.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// Number granted with a lease; later holders get higher numbers.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
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
