#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace sycamoreford::impl {

/// Parses an IP address and port such as `127.0.0.1:8080`.
///
/// \throws std::system_error when it is no such text.
[[nodiscard]] boost::asio::ip::tcp::endpoint ParseAddress(
    const std::string& address);

/// The text form of an endpoint.
[[nodiscard]] std::string ToAddress(
    const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace sycamoreford::impl
