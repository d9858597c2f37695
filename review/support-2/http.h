// A small HTTP/1.1 server and client on loopback addresses, for stand-ins.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Seconds since the start of the process, for records.
double Now();

void SleepMs(int ms);

/// A request or a response; names of headers are in lower case.
struct Message {
  std::string method;
  std::string target;
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// First header with this name, in lower case; empty if there is none.
  [[nodiscard]] std::string Header(const std::string& name) const;
  /// Decoded value of a parameter in the query of `target`.
  [[nodiscard]] std::string Parameter(const std::string& name) const;
};

/// A connection that a server has accepted, or a client has opened.
class Channel {
 public:
  explicit Channel(int socket) : socket_(socket) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Reads one message with its body; nothing if the channel ended or `timeout`
  /// has passed.
  std::optional<Message> Read(bool is_request, milliseconds timeout);
  /// Reads the head of a message only.
  std::optional<Message> ReadHead(bool is_request, milliseconds timeout);
  /// Reads any bytes; empty when the channel has ended or timed out.
  std::string ReadSome(milliseconds timeout);
  bool Write(const std::string& bytes) const;
  /// Whether the other end has closed.
  [[nodiscard]] bool IsClosedByPeer() const;
  /// Closes with a reset.
  void Reset();
  void Close();
  /// Ends a running read or write of another thread.
  void Interrupt() const;
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  int socket_;
  bool timed_out_ = false;
  std::string buffer_;
};

/// Opens a connection; nothing if it is refused or takes too long.
std::unique_ptr<Channel> Connect(const std::string& address,
                                 milliseconds timeout = milliseconds(2'000));

/// A response with a length that closes the channel.
std::string FormatResponse(unsigned status,
                           const std::string& headers,
                           const std::string& body);

/// Accepts connections and handles each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;

  /// \param ip a loopback address.
  Server(const std::string& ip, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  /// Ends all connections, and each new one, with a reset until it is false.
  void SetAway(bool is_away);
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> is_away_{false};
  std::atomic<bool> is_stopped_{false};
  std::atomic<int> active_{0};
  std::mutex mutex_;
  std::list<Channel*> channels_;
  std::thread thread_;
};

/// A port of the address that is free at present, below those that the system
/// gives to connections.
std::string FreeAddress(const std::string& ip);

}  // namespace review
