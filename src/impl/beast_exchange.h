#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/core/memory_hold.h"

namespace sycamoreford::impl {

inline constexpr unsigned kHttp11 = 11;

/// `HttpExchange` on a Beast stream.
class BeastExchange final : public HttpExchange {
 public:
  BeastExchange(boost::beast::tcp_stream& stream,
                HttpRequest request,
                std::chrono::milliseconds unread_time,
                bool keep_alive,
                const std::atomic<bool>& keep_alive_disabled,
                unsigned version,
                std::chrono::milliseconds write_timeout)
      : stream_(stream),
        request_(std::move(request)),
        unread_time_(unread_time),
        keep_alive_(keep_alive),
        keep_alive_disabled_(keep_alive_disabled),
        version_(version),
        write_timeout_(write_timeout),
        client_(std::make_shared<ClientPresence>(stream)) {}
  BeastExchange(const BeastExchange&) = delete;
  BeastExchange& operator=(const BeastExchange&) = delete;
  ~BeastExchange() override { client_->End(); }

  [[nodiscard]] const HttpRequest& request() const noexcept override {
    return request_;
  }

  [[nodiscard]] std::shared_ptr<const ClientPresence> client()
      const noexcept override {
    return client_;
  }

  [[nodiscard]] std::chrono::milliseconds unread_time()
      const noexcept override {
    return unread_time_;
  }

  [[nodiscard]] std::string client_ip() const override {
    boost::beast::error_code error;
    const auto endpoint = stream_.socket().remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
  }

  boost::asio::awaitable<void> Respond(HttpResponse response) override {
    boost::beast::http::response<boost::beast::http::string_body> message(
        static_cast<boost::beast::http::status>(response.status), version_);
    SetFields(message, response);
    message.body() = std::move(response.body);
    // A client that reads slowly keeps it here.
    MemoryHold hold(MemoryBudget::OfProcess(), HeldKind::kResponse, "");
    (void)hold.Resize(message.body().capacity());
    message.prepare_payload();
    response_started_ = true;
    stream_.expires_after(write_timeout_);
    if (request_.method == "HEAD") {
      boost::beast::http::response_serializer<boost::beast::http::string_body>
          serializer(message);
      co_await boost::beast::http::async_write_header(
          stream_, serializer, boost::asio::use_awaitable);
    } else {
      co_await boost::beast::http::async_write(stream_, message,
                                               boost::asio::use_awaitable);
    }
    complete_ = true;
  }

  boost::asio::awaitable<void> BeginStream(HttpResponse header) override {
    is_stream_ = true;
    boost::beast::http::response<boost::beast::http::empty_body> message(
        static_cast<boost::beast::http::status>(header.status), version_);
    SetFields(message, header);
    chunked_ = version_ >= kHttp11;
    message.chunked(chunked_);
    boost::beast::http::response_serializer<boost::beast::http::empty_body>
        serializer(message);
    response_started_ = true;
    stream_.expires_after(write_timeout_);
    co_await boost::beast::http::async_write_header(stream_, serializer,
                                                    boost::asio::use_awaitable);
  }

  boost::asio::awaitable<void> SendChunk(std::string_view bytes) override {
    stream_.expires_after(write_timeout_);
    const auto buffer = boost::asio::buffer(bytes.data(), bytes.size());
    if (chunked_) {
      co_await boost::asio::async_write(stream_,
                                        boost::beast::http::make_chunk(buffer),
                                        boost::asio::use_awaitable);
    } else {
      co_await boost::asio::async_write(stream_, buffer,
                                        boost::asio::use_awaitable);
    }
  }

  boost::asio::awaitable<void> EndStream() override {
    if (chunked_) {
      stream_.expires_after(write_timeout_);
      co_await boost::asio::async_write(stream_,
                                        boost::beast::http::make_chunk_last(),
                                        boost::asio::use_awaitable);
    }
    complete_ = chunked_;
    stream_ended_ = true;
  }

  [[nodiscard]] bool response_started() const noexcept override {
    return response_started_;
  }
  /// Whether the client can tell only from the end of the connection that a
  /// stream is over, which was broken off.
  [[nodiscard]] bool needs_reset() const noexcept {
    return is_stream_ && !chunked_ && !stream_ended_;
  }
  /// Whether a further request may follow on this connection.
  [[nodiscard]] bool may_continue() const noexcept {
    return complete_ && keep_alive_;
  }

 private:
  template <class Body>
  void SetFields(boost::beast::http::response<Body>& message,
                 const HttpResponse& response) {
    if (!response.content_type.empty()) {
      message.set(boost::beast::http::field::content_type,
                  response.content_type);
    }
    keep_alive_ = keep_alive_ && !keep_alive_disabled_;
    // Replaces all fields `Connection`.
    message.keep_alive(keep_alive_);
    for (const auto& [name, value] : response.fields) {
      message.insert(name, value);
    }
  }

  boost::beast::tcp_stream& stream_;
  HttpRequest request_;
  std::chrono::milliseconds unread_time_;
  bool keep_alive_;
  const std::atomic<bool>& keep_alive_disabled_;
  unsigned version_;
  std::chrono::milliseconds write_timeout_;
  std::shared_ptr<ClientPresence> client_;
  bool response_started_ = false;
  bool chunked_ = false;
  bool complete_ = false;
  bool is_stream_ = false;
  bool stream_ended_ = false;
};

}  // namespace sycamoreford::impl
