#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/fleet/endpoint_run_id.h"

namespace sycamoreford {

/// Announcement of an endpoint. Each start of the endpoint's process is a new
/// run with its own announcement.
struct EndpointRecord {
  std::string id;
  std::string service;
  /// IP address and port.
  std::string address;
  std::string data_centre;
  /// Kind of accelerator; empty for plain services.
  std::string kind;
  std::uint32_t slots = 0;
  /// Will stop soon; accepts no new requests.
  bool is_leaving = false;
  /// Layers whose weights it holds; empty if none.
  LayerRange layers;
  /// Start time in ms since the Unix epoch; distinguishes runs under one id.
  std::uint64_t started_at_ms = 0;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

/// The run that an announcement belongs to.
[[nodiscard]] inline EndpointRunId RunOf(const EndpointRecord& record) {
  return {record.id, record.started_at_ms};
}

}  // namespace sycamoreford
