#include "impl/parse_address.h"

#include <charconv>
#include <system_error>

#include "sycamoreford/core/errc.h"

namespace sycamoreford::impl {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  boost::system::error_code error;
  if (colon != std::string::npos) {
    const char* begin = address.data() + colon + 1;
    const char* end = address.data() + address.size();
    const auto [rest, status] = std::from_chars(begin, end, port);
    const auto ip =
        boost::asio::ip::make_address(address.substr(0, colon), error);
    if (status == std::errc() && rest == end && begin != end && !error) {
      return {ip, port};
    }
  }
  throw std::system_error(make_error_code(Errc::kMalformed), address);
}

std::string ToAddress(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace sycamoreford::impl
