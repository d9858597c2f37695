#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sycamoreford {

/// Size, time and connection limits of an HTTP server.
struct HttpLimits {
  /// Maximum size of the request line and all header fields together.
  std::uint32_t max_header_bytes = 16U * 1024;
  /// Maximum size of a request body.
  std::uint64_t max_body_bytes = 1024UL * 1024;
  /// Maximum time that a connection waits for its next request.
  std::chrono::milliseconds idle_timeout{75'000};
  /// Maximum time to receive the header of a request.
  std::chrono::milliseconds header_timeout{10'000};
  /// Maximum time to receive the body of a request.
  std::chrono::milliseconds body_timeout{30'000};
  /// Maximum time for one write.
  std::chrono::milliseconds write_timeout{30'000};
  /// Maximum number of concurrent connections; further ones get status 503 and
  /// are closed.
  std::size_t max_connections = 4096;
};

}  // namespace sycamoreford
