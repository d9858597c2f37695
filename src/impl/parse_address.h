#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace sycamoreford::impl {

/// Parses an IP address and port such as `127.0.0.1:8080`.
///
/// \throws std::system_error when `address` is malformed.
[[nodiscard]] boost::asio::ip::tcp::endpoint ParseAddress(
    const std::string& address);

/// Formats an IP endpoint as `address:port`.
[[nodiscard]] std::string ToAddress(
    const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace sycamoreford::impl
