#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sycamoreford {

/// Bounds on what an HTTP peer may send and how long it may take.
struct HttpLimits {
  /// Bytes of all header fields together.
  std::uint32_t max_header_bytes = 16U * 1024;
  /// Bytes of a body.
  std::uint64_t max_body_bytes = 1024UL * 1024;
  /// Time that a connection may wait for its next request.
  std::chrono::milliseconds idle_timeout{75'000};
  /// Time to receive a header.
  std::chrono::milliseconds header_timeout{10'000};
  /// Time to receive a body.
  std::chrono::milliseconds body_timeout{30'000};
  /// Time for one write to leave.
  std::chrono::milliseconds write_timeout{30'000};
  /// Connections at once; further ones are closed on arrival.
  std::size_t max_connections = 4096;
};

}  // namespace sycamoreford
