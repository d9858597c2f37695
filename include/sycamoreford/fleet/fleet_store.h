#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/fleet/endpoint_record.h"
#include "sycamoreford/relay/manifest.h"

namespace sycamoreford {

/// The configuration as read from the store.
struct ManifestListing {
  /// Nothing when it did not change, or was never written.
  std::shared_ptr<const Manifest> manifest;
  /// Where to go on waiting for changes.
  std::uint64_t position = 0;
  /// Whether changes were dropped; the whole has to be read anew.
  bool has_gap = false;
};

/// Endpoints as read from the store: all of them, or those that changed.
struct EndpointListing {
  std::vector<EndpointRecord> endpoints;
  /// Ids that were removed, or whose entries can't be read.
  std::vector<std::string> removed;
  std::uint64_t position = 0;
  bool has_gap = false;
};

/// The platform's store as far as followers use it.
///
/// - `Read…` answers the whole, `kTableUnavailable` when there is no answer.
/// - `Await…` answers when something changed after `position`, or when `wait`
///   has passed.
template <class T>
concept FleetStore = requires(T& store,
                              std::uint64_t position,
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
