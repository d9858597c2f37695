#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A request or response of HTTP/1.1.
struct Message {
  /// `METHOD TARGET VERSION` or `VERSION STATUS REASON`.
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// Value of the first field with this name, in any case; empty if missing.
  [[nodiscard]] std::string Get(const std::string& name) const;
  /// Of a request: the method and the target.
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  /// Of a response: the status; 0 if there is none.
  [[nodiscard]] int status() const;
};

/// A TCP connection.
///
/// Thread safety: `Reset` may be called from any thread.
class Connection {
 public:
  explicit Connection(int file) : file_(file) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects to `IP:PORT`; null if that fails.
  static std::unique_ptr<Connection> Open(const std::string& address,
                                          Milliseconds timeout);

  /// Reads one message; nothing at the end of the connection, or when nothing
  /// has come for `timeout`.
  ///
  /// \param reads_to_end whether a response without a length ends with the
  ///     connection.
  std::optional<Message> Read(Milliseconds timeout, bool reads_to_end = false);

  bool Write(const std::string& bytes);

  /// Resets the connection; calls that wait for it end.
  void Reset();

 private:
  bool Fill(Milliseconds timeout);
  bool FillUntil(std::size_t size, Milliseconds timeout);
  bool ReadChunks(std::string& body, Milliseconds timeout);

  int file_;
  std::string buffer_;
};

/// An HTTP server on the loopback interface, with a thread for each connection.
class Server {
 public:
  /// Answers a request. \returns whether the connection is kept.
  using Handler = std::function<bool(Connection&, const Message&)>;

  /// \param port to listen at; 0 for a free one.
  explicit Server(Handler handler, int port = 0);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  [[nodiscard]] int port() const { return port_; }

  /// Listens at the same port as before.
  void Start();
  /// Refuses connections and resets those that are open.
  void Stop();

 private:
  void Accept(int listener);

  Handler handler_;
  std::string address_;
  int port_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  bool is_open_ = false;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::condition_variable ended_;
  /// Threads that run.
  int threads_ = 0;
};

/// Encodes a response with a length.
std::string Response(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {});

/// Sends a request on a connection of its own.
///
/// \returns the response, if it was complete in time.
std::optional<Message> Fetch(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    Milliseconds timeout);

/// A port that is free at present, below those that connections get.
int FreePort();

/// Unix time in ms.
std::uint64_t UnixMs();

}  // namespace review
