#pragma once

#include <chrono>
#include <concepts>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/fleet/endpoint_record.h"
#include "sycamoreford/fleet/store_position.h"
#include "sycamoreford/relay/manifest.h"

namespace sycamoreford {

/// The configuration as read from the store.
struct ManifestListing {
  /// Null if it did not change or was never written.
  std::shared_ptr<const Manifest> manifest;
  /// Time that it took to decode it.
  Duration decode_time{0};
  /// Position in the feed of changes from which to wait for further ones.
  StorePosition position;
  /// Whether changes before `position` were lost, or the store has begun a new
  /// era, so that the configuration has to be read in full again.
  bool has_gap = false;
};

/// Endpoints as read from the store: all of them, or those that changed. An id
/// occurs once, with the last of its changes, so that their order is not
/// needed.
struct EndpointListing {
  std::vector<EndpointRecord> endpoints;
  /// Ids that were removed, or whose rows could not be parsed.
  std::vector<std::string> removed;
  /// As in `ManifestListing`.
  StorePosition position;
  bool has_gap = false;
};

/// The operations of the platform's store that `FleetFollower` uses.
///
/// - `Read…` returns the full listing, or `kTableUnavailable` when the store
///   does not respond.
/// - `Await…` returns when something changed after `position`, or after `wait`.
///   If the store is in a later era by then, the listing has a gap.
template <class T>
concept FleetStore = requires(T& store,
                              StorePosition position,
                              std::chrono::milliseconds wait) {
  {
    store.ReadManifest()
    } -> std::same_as<boost::asio::awaitable<Result<ManifestListing>>>;
  {
    store.AwaitManifest(position, wait)
    } -> std::same_as<boost::asio::awaitable<Result<ManifestListing>>>;
  {
    store.ReadEndpoints()
    } -> std::same_as<boost::asio::awaitable<Result<EndpointListing>>>;
  {
    store.AwaitEndpoints(position, wait)
    } -> std::same_as<boost::asio::awaitable<Result<EndpointListing>>>;
};

}  // namespace sycamoreford
