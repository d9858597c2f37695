#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Client of the platform's table service, with JSON over HTTP; see
/// docs/INTERFACES.md. Models `TableClient`. Thread safe.
class HttpTableClient {
 public:
  /// \param address IP address and port of the service.
  /// \param timeout maximum time for one call.
  HttpTableClient(std::string address, std::chrono::milliseconds timeout);

  [[nodiscard]] boost::asio::awaitable<Result<std::vector<TableRow>>> Read(
      const TableRead& read);
  [[nodiscard]] boost::asio::awaitable<Result<bool>> Commit(
      const TableTransaction& transaction);

 private:
  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace sycamoreford
