#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/lease/lease_client.h"
#include "sycamoreford/orders/order_planner.h"

namespace sycamoreford {

/// Tries to acquire the lease of each pool and, while it holds one, sends
/// orders to the pool's engines. Runs on its own strand.
///
/// Thread safety: the methods may be called from any thread.
class OrderService {
 public:
  /// Precondition: `state` outlives this object.
  OrderService(boost::asio::io_context& context, EntryState& state);

  /// Starts acquiring leases and sending orders.
  void Start();

  /// Releases all leases and stops acquiring them, for a planned stop.
  boost::asio::awaitable<void> Release();

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Lease = LeaseClient<HttpTableClient, SteadyClock>;

  struct Pool {
    std::unique_ptr<Lease> lease;
    OrderPlanner planner;
    TimePoint next_poll_at{};
  };

  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> ReleaseOnStrand();
  void FollowConfiguration();
  boost::asio::awaitable<void> UpdatePool(const std::string& name, Pool& pool);
  boost::asio::awaitable<void> PollEngines(
      const std::vector<DesiredEngine>& engines,
      Pool& pool);
  boost::asio::awaitable<void> SendOrder(EngineOrder order);
  void PublishLeases();

  Strand strand_;
  EntryState& state_;
  /// Holder name of this process; unique, also after a restart.
  std::string holder_;
  std::map<std::string, Pool> pools_;
  bool is_released_ = false;
};

}  // namespace sycamoreford
