#pragma once

#include <string>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/fleet/endpoint_record.h"

namespace sycamoreford {

/// State that a running daemon passes to one that starts while the store is
/// unavailable.
struct PeerState {
  /// Text of the configuration, as operators wrote it.
  std::string manifest_source;
  std::vector<EndpointRecord> endpoints;

  /// Serializes the state to JSON.
  [[nodiscard]] std::string ToText() const;
  /// Parses the JSON text; returns `kMalformed` when it is not a valid state.
  [[nodiscard]] static Result<PeerState> Parse(const std::string& text);
  /// Records of the endpoints in `directory` that are not scheduled to be
  /// dropped.
  [[nodiscard]] static std::vector<EndpointRecord> Records(
      const EndpointDirectory& directory);
};

}  // namespace sycamoreford
