#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/core/memory_hold.h"

namespace sycamoreford {

/// Maximum number of bytes that are received ahead of the parser. Heads, chunk
/// extensions and trailers must fit.
inline constexpr std::size_t kMaxBufferBytes = 128UL * 1024;
inline constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

/// The connection of a call and what it has received.
struct HttpCall::State {
  State(const boost::asio::any_io_executor& executor, HeldKind kind)
      : stream(executor), kind(kind) {
    StartHead();
  }

  /// Counts what is received from now on as sent by `address`.
  void StartHold() {
    const auto close = [executor = stream.get_executor(),
                        weak = std::weak_ptr<State*>(self)] {
      boost::asio::post(executor, [weak] {
        if (const auto state = weak.lock()) {
          (*state)->stream.close();
        }
      });
    };
    hold.emplace(MemoryBudget::OfProcess(), kind, address, close);
  }

  /// Counts what is held; closes the connection if there is no room for it.
  [[nodiscard]] bool Count() {
    const std::size_t body =
        parser->is_header_done() ? parser->get().body().capacity() : 0;
    const bool has_room =
        hold->Resize(buffer.capacity() + body + retained_bytes);
    if (!has_room) {
      stream.close();
    }
    return has_room;
  }

  /// Expects the head of a response next.
  void StartHead() {
    parser.emplace();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(boost::none);
    // Its length is that of the body that GET would have.
    parser->skip(is_head_request);
  }

  /// Whether the head that was read has a status of HTTP (RFC 9110, 15). 101
  /// is none, as no request asks for another protocol.
  [[nodiscard]] bool HasValidStatus() const {
    constexpr unsigned kFirst = 100;
    constexpr unsigned kLast = 599;
    const unsigned status = parser->get().result_int();
    return status >= kFirst && status <= kLast &&
           parser->get().result() !=
               boost::beast::http::status::switching_protocols;
  }

  /// Whether the head that was read is followed by that of the final response
  /// (RFC 9110, 15.2).
  ///
  /// Precondition: `HasValidStatus`.
  [[nodiscard]] bool HasInterimHead() const {
    constexpr unsigned kFirstFinal = 200;
    return parser->get().result_int() < kFirstFinal;
  }

  /// What an endpoint states in an interim response is not used.
  void LogInterimHead() const {
    if (HasInterimHead()) {
      LogEvent(Severity::kInfo, "interim_response_skipped")
          .With("from", address)
          .With("status", parser->get().result_int());
    }
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
  /// Its body grows with what arrives; a string would reserve whatever length
  /// the other end states.
  std::optional<boost::beast::http::response_parser<
      boost::beast::http::basic_dynamic_body<boost::beast::flat_buffer>>>
      parser;
  HeldKind kind;
  /// Set when the request is sent.
  std::optional<MemoryHold> hold;
  /// Received bytes that the user of the call keeps.
  std::size_t retained_bytes = 0;
  std::shared_ptr<State*> self = std::make_shared<State*>(this);
  bool is_head_request = false;
  int interim_heads = 0;
  HttpFields fields;
  /// The other end, for failures.
  std::string address;
  bool was_sent = false;
  std::chrono::system_clock::time_point sent_at;
  bool was_withheld = false;
  bool is_reading = false;
  /// Whether a read is to be ended by `Interrupt`.
  bool is_interrupt_requested = false;
  bool was_interrupted = false;

  /// Runs one read operation, which `Interrupt` may cancel.
  ///
  /// \param read starts the operation with a completion token.
  template <class Read>
  boost::asio::awaitable<boost::beast::error_code> RunRead(Read read) {
    boost::beast::error_code error = boost::asio::error::operation_aborted;
    was_interrupted = false;
    if (!is_interrupt_requested) {
      is_reading = true;
      co_await read(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      is_reading = false;
      if (!Count()) {
        error = boost::beast::http::error::buffer_overflow;
      }
    }
    was_interrupted = is_interrupt_requested &&
                      error == boost::asio::error::operation_aborted;
    // A read that has succeeded nonetheless leaves the next one to be ended.
    is_interrupt_requested = is_interrupt_requested && !error;
    co_return error;
  }
};

}  // namespace sycamoreford
