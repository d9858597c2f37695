#pragma once

#include <sstream>
#include <string>

namespace sycamoreford::support {

/// How the end of a response body is marked.
enum class Framing {
  kChunks,
  /// Neither a length nor chunks: the body ends with the connection.
  kConnection,
};

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// The header of an endpoint's event stream.
inline std::string StreamHead(Framing framing = Framing::kChunks) {
  return std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n") +
         "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n" +
         (framing == Framing::kChunks ? "Transfer-Encoding: chunked\r\n" : "") +
         "\r\n";
}

/// Bytes of a body.
inline std::string Part(const std::string& bytes,
                        Framing framing = Framing::kChunks) {
  if (framing == Framing::kConnection) {
    return bytes;
  }
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

/// What follows the last bytes of a body, before the connection is closed.
inline std::string BodyEnd(Framing framing = Framing::kChunks) {
  return framing == Framing::kChunks ? "0\r\n\r\n" : "";
}

/// A response as a caller received it.
struct ReceivedResponse {
  std::string status;
  /// The body without its framing, as far as it was received.
  std::string body;
  /// Whether the whole body was received.
  bool is_complete = false;
};

/// Parses a response with a length or chunks.
inline ReceivedResponse ParseResponse(const std::string& text) {
  ReceivedResponse response;
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return response;
  }
  const std::string head = text.substr(0, head_end + 2);
  const std::string rest = text.substr(head_end + 4);
  response.status = head.substr(head.find(' ') + 1, 3);
  const std::string length_name = "Content-Length: ";
  const std::size_t length_at = head.find(length_name);
  if (length_at != std::string::npos) {
    response.body = rest;
    response.is_complete =
        rest.size() == std::stoul(head.substr(length_at + length_name.size()));
    return response;
  }
  std::size_t position = 0;
  for (;;) {
    const std::size_t size_end = rest.find("\r\n", position);
    if (size_end == std::string::npos) {
      return response;
    }
    const std::size_t size =
        std::stoul(rest.substr(position, size_end - position), nullptr, 16);
    if (size == 0) {
      response.is_complete = rest.substr(size_end) == "\r\n\r\n";
      return response;
    }
    response.body += rest.substr(size_end + 2, size);
    position = size_end + 2 + size + 2;
    if (position > rest.size()) {
      return response;
    }
  }
}

}  // namespace sycamoreford::support
