#pragma once

#include <string>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/fleet/endpoint_record.h"

namespace sycamoreford {

/// What a daemon hands to one that starts while the store is away.
struct PeerState {
  /// The configuration's text, as operators wrote it.
  std::string manifest_source;
  std::vector<EndpointRecord> endpoints;

  /// The text form.
  [[nodiscard]] std::string ToText() const;
  /// \returns `kMalformed` when the text is none.
  [[nodiscard]] static Result<PeerState> Parse(const std::string& text);
  /// The endpoints of a directory that are not about to be dropped.
  [[nodiscard]] static std::vector<EndpointRecord> Records(
      const EndpointDirectory& directory);
};

}  // namespace sycamoreford
