#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nng/nng.h>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// Messages between daemons: protobuf over nng's push and pull sockets.
///
/// Sending never blocks; a message that can't be sent soon is lost. Connections
/// are opened on demand, kept, and closed when idle.
///
/// Thread safety: `Send` from one thread at a time; the receiver is called on
/// a thread of nng, one call at a time.
class PeerChannel {
 public:
  /// Largest message taken or sent.
  static constexpr std::size_t kMaxMessageBytes = 4UL * 1024 * 1024;
  static constexpr std::chrono::seconds kIdleTimeout{60};
  static constexpr std::size_t kMaxConnections = 1'024;

  /// Called with each message that could be parsed.
  using Receiver = std::function<void(v1::PeerMessage)>;

  /// Listens on an IP address and port; port 0 picks a free one.
  ///
  /// \throws std::system_error when it can not be bound.
  explicit PeerChannel(const std::string& address);
  ~PeerChannel();
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  /// Begins to receive. Call once.
  void Start(Receiver receiver);

  /// Ends receiving; no call of the receiver is under way afterwards.
  void Close();

  /// Sends a message to the peer that listens on `address`.
  ///
  /// \returns `kTooLarge`, `kMalformed` for a bad address, or `kOverloaded`
  ///     when the peer takes no more at present or there are too many peers.
  Result<void> Send(const std::string& address,
                    const v1::PeerMessage& message,
                    TimePoint now);

  /// Where it listens.
  [[nodiscard]] const std::string& address() const noexcept { return address_; }

  /// Messages dropped because they could not be parsed.
  [[nodiscard]] std::uint64_t malformed_count() const noexcept {
    return malformed_count_;
  }

 private:
  struct Connection {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    TimePoint last_used_at{};
  };

  static void OnReceive(void* self);
  void HandleReceive();
  Result<nng_socket> GetOrOpenSocket(const std::string& address, TimePoint now);
  void CloseIdleConnections(TimePoint now);

  std::string address_;
  nng_socket listener_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
  Receiver receiver_;
  std::atomic<std::uint64_t> malformed_count_{0};
  std::map<std::string, Connection> connections_;
};

}  // namespace sycamoreford
