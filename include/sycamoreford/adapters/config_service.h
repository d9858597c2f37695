#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "sycamoreford/adapters/config_holder.h"
#include "sycamoreford/adapters/http_table_client.h"
#include "sycamoreford/config/config_editor.h"
#include "sycamoreford/config/config_follower.h"

namespace sycamoreford {

/// Keeps a daemon's configuration up to date with the table and writes
/// operators' changes. Runs on a strand of its own.
///
/// Thread safety: all methods may be called from any thread.
class ConfigService {
 public:
  /// Precondition: the arguments outlive this object.
  ConfigService(boost::asio::io_context& context,
                HttpTableClient& table,
                ConfigHolder& holder,
                std::chrono::milliseconds poll_interval);

  /// Starts to poll the table.
  void Start();

  /// Applies an operator's change; blocks the calling thread. Errors as for
  /// `ConfigEditor::Apply`.
  [[nodiscard]] Result<v1::Change> Apply(const ChangeRequest& request,
                                         const ChangeOrigin& origin);

  /// Reads accepted changes below `before`, newest first; blocks the calling
  /// thread. \param before 0 starts at the newest.
  [[nodiscard]] Result<std::vector<v1::Change>> History(Revision before,
                                                        std::uint32_t limit);

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> PollOnce();
  boost::asio::awaitable<Result<v1::Change>> ApplyOnStrand(
      ChangeRequest request,
      ChangeOrigin origin);
  boost::asio::awaitable<Result<std::vector<v1::Change>>> ReadHistory(
      Revision before,
      std::uint32_t limit);

  Strand strand_;
  HttpTableClient& table_;
  ConfigHolder& holder_;
  std::chrono::milliseconds poll_interval_;
  ConfigFollower follower_;
  bool table_was_up_ = true;
};

}  // namespace sycamoreford
