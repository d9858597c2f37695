#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford {

/// One run of an endpoint, as it announces itself.
struct EndpointRecord {
  std::string id;
  std::string service;
  /// IP address and port.
  std::string address;
  std::string data_centre;
  /// Kind of accelerator; empty for plain services.
  std::string kind;
  std::uint32_t slots = 0;
  /// Announced that it stops soon; takes no new requests.
  bool is_leaving = false;
  /// Layers whose weights it holds; empty when none.
  LayerRange layers;
  /// Unix time of the start in ms; tells runs under one id apart.
  std::uint64_t started_at_ms = 0;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

}  // namespace sycamoreford
