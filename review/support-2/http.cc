#include "http.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();

sockaddr_in ToAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

/// Waits until the socket can be read or written.
bool Await(int socket, short events, Clock::time_point deadline) {
  for (;;) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd polled{.fd = socket, .events = events, .revents = 0};
    const int ready = poll(&polled, 1, static_cast<int>(left.count()));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

Message ParseHead(const std::string& head, bool is_request) {
  Message message;
  std::size_t at = head.find("\r\n");
  const std::string first = head.substr(0, at);
  const std::size_t space = first.find(' ');
  if (is_request) {
    message.method = first.substr(0, space);
    const std::size_t end = first.rfind(' ');
    message.target = first.substr(space + 1, end - space - 1);
  } else {
    message.status =
        static_cast<unsigned>(std::atoi(first.substr(space + 1, 3).c_str()));
  }
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, std::min(value.size(), value.find_first_not_of(' ')));
    message.headers.emplace_back(ToLower(line.substr(0, colon)),
                                 std::move(value));
  }
  return message;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string Message::Parameter(const std::string& name) const {
  std::string query = "&" + target.substr(target.find('?') + 1);
  const std::size_t at = query.find("&" + name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 2;
  const std::string escaped =
      query.substr(begin, query.find('&', begin) - begin);
  constexpr int kHexadecimal = 16;
  std::string value;
  for (std::size_t i = 0; i < escaped.size(); ++i) {
    if (escaped[i] == '%') {
      value += static_cast<char>(
          std::stoi(escaped.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      value += escaped[i];
    }
  }
  return value;
}

Channel::~Channel() {
  Close();
}

std::string Channel::ReadSome(milliseconds timeout) {
  if (!buffer_.empty()) {
    return std::exchange(buffer_, {});
  }
  timed_out_ = !Await(socket_, POLLIN, Clock::now() + timeout);
  if (timed_out_) {
    return {};
  }
  std::string bytes(64UL * 1024, '\0');
  const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
  bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return bytes;
}

std::optional<Message> Channel::ReadHead(bool is_request,
                                         milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  std::string bytes = std::exchange(buffer_, {});
  std::size_t end = bytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    const std::string more = ReadSome(
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now()));
    if (more.empty()) {
      return std::nullopt;
    }
    bytes += more;
    end = bytes.find("\r\n\r\n");
  }
  Message message = ParseHead(bytes.substr(0, end), is_request);
  buffer_ = bytes.substr(end + 4);
  return message;
}

std::optional<Message> Channel::Read(bool is_request, milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  auto message = ReadHead(is_request, timeout);
  if (!message) {
    return std::nullopt;
  }
  const std::string length = message->Header("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  std::string body = std::exchange(buffer_, {});
  while (body.size() < size) {
    const std::string more = ReadSome(
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now()));
    if (more.empty()) {
      return std::nullopt;
    }
    body += more;
  }
  buffer_ = body.substr(size);
  body.resize(size);
  message->body = std::move(body);
  return message;
}

bool Channel::Write(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Channel::IsClosedByPeer() const {
  pollfd polled{.fd = socket_, .events = POLLRDHUP, .revents = 0};
  return poll(&polled, 1, 0) > 0 &&
         (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Channel::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

void Channel::Close() {
  if (socket_ >= 0) {
    close(socket_);
    socket_ = -1;
  }
}

void Channel::Interrupt() const {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  shutdown(socket_, SHUT_RD);
}

std::unique_ptr<Channel> Connect(const std::string& address,
                                 milliseconds timeout) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int flags = fcntl(socket, F_GETFL);
  fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in to = ToAddress(address);
  auto channel = std::make_unique<Channel>(socket);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    if (errno != EINPROGRESS ||
        !Await(socket, POLLOUT, Clock::now() + timeout)) {
      return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  fcntl(socket, F_SETFL, flags);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return channel;
}

std::string FormatResponse(unsigned status,
                           const std::string& headers,
                           const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

Server::Server(const std::string& ip, Handler handler)
    : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  address_ = FreeAddress(ip);
  const sockaddr_in to = ToAddress(address_);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
          0 ||
      listen(listener_, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen at " + address_);
  }
  thread_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  Stop();
}

void Server::Accept() {
  while (!is_stopped_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    ++active_;
    std::thread([this, socket] {
      Serve(socket);
      --active_;
    }).detach();
  }
}

void Server::Serve(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Channel channel(socket);
  std::list<Channel*>::iterator place;
  {
    const std::lock_guard lock(mutex_);
    place = channels_.insert(channels_.end(), &channel);
  }
  if (!is_away_ && !is_stopped_) {
    handler_(channel);
  }
  const std::lock_guard lock(mutex_);
  channels_.erase(place);
  if (is_away_) {
    channel.Reset();
  }
}

void Server::SetAway(bool is_away) {
  is_away_ = is_away;
  const std::lock_guard lock(mutex_);
  if (is_away) {
    for (const Channel* channel : channels_) {
      channel->Interrupt();
    }
  }
}

void Server::Stop() {
  if (is_stopped_.exchange(true)) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
  while (active_ > 0) {
    {
      const std::lock_guard lock(mutex_);
      for (const Channel* channel : channels_) {
        channel->Interrupt();
      }
    }
    SleepMs(10);
  }
}

std::string FreeAddress(const std::string& ip) {
  static std::mutex mutex;
  static std::set<int> given;
  static std::mt19937 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  constexpr int kFirstPort = 12'000;
  constexpr int kLastPort = 30'000;
  std::uniform_int_distribution<int> port(kFirstPort, kLastPort);
  for (;;) {
    const int chosen = port(random);
    std::string address = ip + ":" + std::to_string(chosen);
    const sockaddr_in to = ToAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool is_free =
        bind(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    close(socket);
    if (is_free && given.insert(chosen).second) {
      return address;
    }
  }
}

}  // namespace review
