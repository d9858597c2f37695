#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

const sockaddr* AsGeneric(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(' ');
  return first == std::string::npos ? "" : text.substr(first);
}

std::string Word(const std::string& line, int index) {
  std::istringstream words(line);
  std::string word;
  for (int i = 0; i <= index; ++i) {
    word.clear();
    words >> word;
  }
  return word;
}

}  // namespace

std::string Message::Get(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

std::string Message::method() const {
  return Word(start_line, 0);
}

std::string Message::target() const {
  return Word(start_line, 1);
}

int Message::status() const {
  return std::atoi(Word(start_line, 1).c_str());
}

Connection::~Connection() {
  close(file_);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address,
                                             Milliseconds timeout) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(file);
  const timeval time{.tv_sec = timeout.count() / 1'000,
                     .tv_usec = timeout.count() % 1'000 * 1'000};
  setsockopt(file, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  const int port = std::atoi(address.substr(address.rfind(':') + 1).c_str());
  const sockaddr_in to = LoopbackAddress(port);
  if (connect(file, AsGeneric(to), sizeof(to)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Fill(Milliseconds timeout) {
  pollfd wait{.fd = file_, .events = POLLIN, .revents = 0};
  if (poll(&wait, 1, static_cast<int>(timeout.count())) <= 0) {
    return false;
  }
  char bytes[16'384];
  const ssize_t size = recv(file_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool Connection::FillUntil(std::size_t size, Milliseconds timeout) {
  while (buffer_.size() < size) {
    if (!Fill(timeout)) {
      return false;
    }
  }
  return true;
}

bool Connection::ReadChunks(std::string& body, Milliseconds timeout) {
  for (;;) {
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(timeout)) {
        return false;
      }
      end = buffer_.find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    if (!FillUntil(end + 2 + size + 2, timeout)) {
      return false;
    }
    body += buffer_.substr(end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Connection::Read(Milliseconds timeout,
                                        bool reads_to_end) {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(timeout)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n\r\n");
  }
  Message message;
  std::istringstream head(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      message.fields.emplace_back(line.substr(0, colon),
                                  Trim(line.substr(colon + 1)));
    }
  }
  if (!message.Get("Transfer-Encoding").empty()) {
    if (!ReadChunks(message.body, timeout)) {
      return std::nullopt;
    }
  } else if (const std::string length = message.Get("Content-Length");
             !length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    if (!FillUntil(size, timeout)) {
      return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  } else if (reads_to_end) {
    while (Fill(timeout)) {
    }
    message.body.swap(buffer_);
  }
  return message;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(file_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

void Connection::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(file_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  // Ends calls that wait; the reset follows when the file is closed.
  shutdown(file_, SHUT_RD);
}

Server::Server(Handler handler, int port)
    : handler_(std::move(handler)), port_(port == 0 ? FreePort() : port) {
  address_ = "127.0.0.1:" + std::to_string(port_);
  Start();
}

Server::~Server() {
  Stop();
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return threads_ == 0; });
}

void Server::Start() {
  const std::lock_guard lock(mutex_);
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = LoopbackAddress(port_);
  if (bind(listener_, AsGeneric(at), sizeof(at)) != 0 ||
      listen(listener_, 256) != 0) {
    throw std::runtime_error("cannot listen at " + address_);
  }
  is_open_ = true;
  ++threads_;
  std::thread([this, listener = listener_] { Accept(listener); }).detach();
}

void Server::Stop() {
  const std::lock_guard lock(mutex_);
  if (is_open_) {
    is_open_ = false;
    shutdown(listener_, SHUT_RDWR);
  }
  for (const auto& [key, connection] : connections_) {
    connection->Reset();
  }
}

void Server::Accept(int listener) {
  for (;;) {
    const int file = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(mutex_);
    if (file < 0 || !is_open_ || listener_ != listener) {
      if (file >= 0) {
        close(file);
      }
      close(listener);
      --threads_;
      ended_.notify_all();
      return;
    }
    const int on = 1;
    setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(file);
    connections_[connection.get()] = connection;
    ++threads_;
    std::thread([this, connection]() mutable {
      constexpr Milliseconds kIdle{60'000};
      for (;;) {
        const auto request = connection->Read(kIdle);
        if (!request || !handler_(*connection, *request)) {
          break;
        }
      }
      const std::lock_guard done(mutex_);
      connections_.erase(connection.get());
      connection.reset();
      --threads_;
      ended_.notify_all();
    }).detach();
  }
}

std::string Response(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

std::optional<Message> Fetch(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    Milliseconds timeout) {
  const auto connection = Connection::Open(address, timeout);
  if (!connection) {
    return std::nullopt;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text +=
      "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  if (!connection->Write(text)) {
    return std::nullopt;
  }
  return connection->Read(timeout, true);
}

int FreePort() {
  static std::mutex mutex;
  static std::set<int> taken;
  static std::mt19937 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  for (;;) {
    std::uniform_int_distribution<int> ports(12'000, 30'000);
    const int port = ports(random);
    const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = LoopbackAddress(port);
    const bool is_free = bind(file, AsGeneric(at), sizeof(at)) == 0;
    close(file);
    if (is_free && taken.insert(port).second) {
      return port;
    }
  }
}

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace review
