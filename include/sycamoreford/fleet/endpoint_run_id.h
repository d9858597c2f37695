#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sycamoreford {

/// One run of an endpoint process: its id, and its start time, since a process
/// may start again under the same id.
struct EndpointRunId {
  std::string id;
  /// As `EndpointRecord::started_at_ms`.
  std::uint64_t started_at_ms = 0;

  friend auto operator<=>(const EndpointRunId&, const EndpointRunId&) = default;
};

}  // namespace sycamoreford
