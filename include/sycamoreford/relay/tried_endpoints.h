#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace sycamoreford {

/// The endpoints that one attempt of a caller was sent to, by all daemons
/// together: no more than its route allows.
///
/// The daemon with the caller decides. It lets another daemon choose one
/// endpoint at a time, and reserves a place for it until that daemon has named
/// it. A place whose endpoint was never named counts as an endpoint.
///
/// \code
///   TriedEndpoints tried(2);
///   const auto place = tried.Reserve();
///   Forward(tried.ForPeer(place));
///   tried.Resolve(place, {"endpoint that the other daemon names"});
/// \endcode
///
/// Thread safety: none.
class TriedEndpoints {
 public:
  /// Stands for an endpoint that another daemon chooses. Empty if it may choose
  /// only among the ones that were tried.
  using Place = std::string;

  /// \param max_endpoints how many the route allows.
  explicit TriedEndpoints(std::size_t max_endpoints = 0)
      : max_endpoints_(max_endpoints) {}

  /// Of a request that another daemon has forwarded: allows one further
  /// endpoint, unless the route allows no more.
  ///
  /// \param others what the other daemon's `ForPeer` returned.
  TriedEndpoints(std::size_t max_endpoints, std::set<std::string> others);

  /// Whether a further endpoint may be tried.
  [[nodiscard]] bool AllowsFurther() const noexcept {
    return all_.size() < max_endpoints_;
  }

  void Add(const std::string& endpoint);
  /// Called when the request did not reach an endpoint after all.
  ///
  /// Precondition: it was sent there once.
  void Remove(const std::string& endpoint);

  /// Reserves a place for an endpoint that another daemon chooses, if a further
  /// one may be tried.
  [[nodiscard]] Place Reserve();
  /// The other daemon has named the endpoints that it chose; none if the
  /// request reached none.
  void Resolve(const Place& place, const std::set<std::string>& endpoints);

  /// What a daemon that a place is reserved for has to count as tried.
  /// Placeholders are added, so that a daemon that counts by the route alone
  /// finds one endpoint left as well, unless the route allows more endpoints
  /// than a request is sent to by all daemons together.
  [[nodiscard]] std::set<std::string> ForPeer(const Place& place) const;

  /// The tried endpoints, and placeholders that are no ids.
  [[nodiscard]] const std::set<std::string>& all() const noexcept {
    return all_;
  }
  /// The endpoints that this daemon has tried itself.
  [[nodiscard]] const std::set<std::string>& own() const noexcept {
    return own_;
  }
  /// Whether any endpoint is known by its id, so that it can be tried again.
  [[nodiscard]] bool HasNamed() const;

  /// Number of endpoints that the request may have been sent to through other
  /// daemons that have not named them yet, as told by the daemon that forwarded
  /// it.
  [[nodiscard]] std::size_t CountUnnamed() const;

  /// Whether this may be the id of an endpoint: it is no placeholder.
  [[nodiscard]] static bool MayBeId(const std::string& text);

 private:
  std::size_t max_endpoints_;
  std::set<std::string> all_;
  std::set<std::string> own_;
  /// What the daemon that forwarded the request has counted.
  std::set<std::string> others_;
  std::size_t last_place_ = 0;
};

}  // namespace sycamoreford
