// A small HTTP/1.1 server and client with blocking sockets, for stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Ms = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

inline std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Header fields by name in lower case.
using Fields = std::map<std::string, std::string>;

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;

  [[nodiscard]] std::string Get(const std::string& name) const {
    const auto found = fields.find(ToLower(name));
    return found == fields.end() ? "" : found->second;
  }
  [[nodiscard]] std::string path() const {
    return target.substr(0, target.find('?'));
  }
  /// A parameter of the query; empty if it is missing.
  [[nodiscard]] std::string Parameter(const std::string& name) const {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string item = target.substr(begin, at - begin);
      if (item.compare(0, name.size() + 1, name + "=") == 0) {
        return Unescape(item.substr(name.size() + 1));
      }
    }
    return {};
  }

 private:
  static std::string Unescape(const std::string& text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        plain +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }
};

struct Response {
  /// 0 if there was no complete response.
  int status = 0;
  Fields fields;
  std::string body;
  /// Why there is none.
  std::string error;
};

/// A connected socket with a read buffer; closed on destruction.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  void Close() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0) {
      ::close(fd);
    }
  }

  /// Ends the connection in both directions; pending calls return.
  void Shutdown() const { ::shutdown(fd_, SHUT_RDWR); }

  /// Closes it so that the other end sees a reset.
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  [[nodiscard]] bool Write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  /// Whether the other end has closed the connection.
  [[nodiscard]] bool HasEnded() const {
    pollfd polled{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    return ::poll(&polled, 1, 0) != 0;
  }

  /// Reads more bytes into the buffer.
  [[nodiscard]] bool Fill(SteadyTime deadline) {
    const auto left = std::chrono::ceil<Ms>(deadline - Now()).count();
    pollfd polled{.fd = fd_, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t size = ::recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      has_failed_ = size < 0;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  /// Reads up to and including `end`; nothing if it does not come.
  std::optional<std::string> ReadUntil(const std::string& end,
                                       SteadyTime deadline) {
    std::size_t at = 0;
    while ((at = buffer_.find(end)) == std::string::npos) {
      if (!Fill(deadline)) {
        return std::nullopt;
      }
    }
    return Take(at + end.size());
  }

  std::optional<std::string> ReadExactly(std::size_t size,
                                         SteadyTime deadline) {
    while (buffer_.size() < size) {
      if (!Fill(deadline)) {
        return std::nullopt;
      }
    }
    return Take(size);
  }

  /// Reads to the end of the connection; nothing if it is reset.
  std::optional<std::string> ReadAll(SteadyTime deadline) {
    while (Fill(deadline)) {
    }
    if (has_failed_ || Now() >= deadline) {
      return std::nullopt;
    }
    return Take(buffer_.size());
  }

 private:
  std::string Take(std::size_t size) {
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return taken;
  }

  std::atomic<int> fd_;
  std::string buffer_;
  bool has_failed_ = false;
};

inline Fields ParseFields(const std::string& head) {
  Fields fields;
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      fields[ToLower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end;
  }
  return fields;
}

inline std::optional<std::string> ReadChunks(Socket& socket,
                                             SteadyTime deadline) {
  std::string body;
  for (;;) {
    const auto line = socket.ReadUntil("\r\n", deadline);
    if (!line) {
      return std::nullopt;
    }
    const std::size_t size = std::stoul(*line, nullptr, 16);
    const auto chunk = socket.ReadExactly(size + 2, deadline);
    if (!chunk) {
      return std::nullopt;
    }
    if (size == 0) {
      return body;
    }
    body += chunk->substr(0, size);
  }
}

/// Reads a request; nothing if the connection ends before it is complete.
inline std::optional<Request> ReadRequest(Socket& socket, Ms timeout) {
  const SteadyTime deadline = Now() + timeout;
  const auto head = socket.ReadUntil("\r\n\r\n", deadline);
  if (!head) {
    return std::nullopt;
  }
  Request request;
  const std::size_t space = head->find(' ');
  request.method = head->substr(0, space);
  request.target =
      head->substr(space + 1, head->find(' ', space + 1) - space - 1);
  request.fields = ParseFields(*head);
  if (ToLower(request.Get("transfer-encoding")) == "chunked") {
    auto body = ReadChunks(socket, deadline);
    if (!body) {
      return std::nullopt;
    }
    request.body = std::move(*body);
  } else if (const std::string length = request.Get("content-length");
             !length.empty()) {
    auto body = socket.ReadExactly(std::stoul(length), deadline);
    if (!body) {
      return std::nullopt;
    }
    request.body = std::move(*body);
  }
  return request;
}

inline sockaddr_in ToSocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IP address: " + ip);
  }
  return address;
}

/// \returns the socket; null if no connection was established.
inline std::unique_ptr<Socket> Connect(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const sockaddr_in to = ToSocketAddress(address.substr(0, colon),
                                         std::stoi(address.substr(colon + 1)));
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return nullptr;
  }
  auto socket = std::make_unique<Socket>(fd);
  return ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0
             ? std::move(socket)
             : nullptr;
}

/// Sends a request on a connection and reads the response.
inline Response Exchange(Socket& socket,
                         const std::string& method,
                         const std::string& target,
                         const Fields& fields,
                         const std::string& body,
                         Ms timeout) {
  Response response;
  const SteadyTime deadline = Now() + timeout;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  if (!socket.Write(text + "\r\n" + body)) {
    response.error = "not_sent";
    return response;
  }
  const auto head = socket.ReadUntil("\r\n\r\n", deadline);
  if (!head) {
    response.error = Now() >= deadline ? "timeout" : "closed";
    return response;
  }
  response.fields = ParseFields(*head);
  std::optional<std::string> read;
  if (response.fields.contains("content-length")) {
    read = socket.ReadExactly(std::stoul(response.fields["content-length"]),
                              deadline);
  } else if (response.fields.contains("transfer-encoding")) {
    read = ReadChunks(socket, deadline);
  } else {
    read = socket.ReadAll(deadline);
  }
  if (!read) {
    response.error = "truncated";
    return response;
  }
  response.status = std::stoi(head->substr(head->find(' ') + 1));
  response.body = std::move(*read);
  return response;
}

inline Response Fetch(const std::string& address,
                      const std::string& method,
                      const std::string& target,
                      const Fields& fields,
                      const std::string& body,
                      Ms timeout) {
  const auto socket = Connect(address);
  if (!socket) {
    return {.status = 0, .fields = {}, .body = {}, .error = "no_connection"};
  }
  return Exchange(*socket, method, target, fields, body, timeout);
}

inline std::string FormatResponse(int status,
                                  const Fields& fields,
                                  const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  /// Serves one connection until it returns.
  using Handler = std::function<void(Socket&)>;

  explicit Server(std::string ip) : ip_(std::move(ip)) {}
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens at the port that was used before, or at a free one.
  void Start(Handler handler) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSocketAddress(ip_, port_);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(listener_, 512) != 0) {
      throw std::runtime_error("cannot listen on " + ip_);
    }
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    is_running_ = true;
    thread_ =
        std::thread([this, handler = std::move(handler)] { Accept(handler); });
  }

  /// Closes the listener and all connections, as the end of a process does.
  void Stop() {
    if (!is_running_.exchange(false)) {
      return;
    }
    thread_.join();
    ::close(listener_);
    EndConnections();
    while (active_ > 0) {
      std::this_thread::sleep_for(Ms(2));
    }
  }

  /// Resets all connections.
  void EndConnections() {
    const std::lock_guard lock(mutex_);
    for (Socket* socket : sockets_) {
      socket->Shutdown();
    }
  }

  [[nodiscard]] std::string address() const {
    return ip_ + ":" + std::to_string(port_);
  }
  [[nodiscard]] bool is_running() const { return is_running_; }

 private:
  void Accept(const Handler& handler) {
    while (is_running_) {
      pollfd polled{.fd = listener_, .events = POLLIN, .revents = 0};
      if (::poll(&polled, 1, 5) <= 0) {
        continue;
      }
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      ++active_;
      std::thread([this, handler, fd] {
        Socket socket(fd);
        {
          const std::lock_guard lock(mutex_);
          sockets_.insert(&socket);
        }
        handler(socket);
        {
          const std::lock_guard lock(mutex_);
          sockets_.erase(&socket);
        }
        socket.Close();
        --active_;
      }).detach();
    }
  }

  std::string ip_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> is_running_{false};
  std::atomic<int> active_{0};
  std::thread thread_;
  std::mutex mutex_;
  std::set<Socket*> sockets_;
};

}  // namespace review
