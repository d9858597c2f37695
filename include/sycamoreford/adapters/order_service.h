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

/// Holds a lease for each pool, where it can, and gives the pool's engines
/// their orders. Runs on a strand of its own.
///
/// Thread safety: its methods may be called from any thread.
class OrderService {
 public:
  /// Precondition: `state` outlives this object.
  OrderService(boost::asio::io_context& context, EntryState& state);

  /// Starts to take leases and give orders.
  void Start();

  /// Releases all leases; for a planned stop.
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
  /// Name of this run; never used by another or again.
  std::string holder_;
  std::map<std::string, Pool> pools_;
  bool is_released_ = false;
};

}  // namespace sycamoreford
