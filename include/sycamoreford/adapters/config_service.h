#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "sycamoreford/adapters/config_holder.h"
#include "sycamoreford/adapters/http_table_client.h"
#include "sycamoreford/adapters/peer_channel.h"
#include "sycamoreford/adapters/serve_permit.h"
#include "sycamoreford/config/config_node.h"
#include "sycamoreford/route/fleet_position.h"
#include "sycamoreford/settings/settings.h"

namespace sycamoreford {

/// Synchronizes a daemon's configuration with the table and the peers, writes
/// operators' changes, and maintains the membership of the fleet. Runs on its
/// own strand.
///
/// Thread safety: all methods may be called from any thread.
class ConfigService {
 public:
  /// Binds the address for messages from peers.
  ///
  /// Precondition: the arguments outlive this object.
  /// \throws std::system_error if the address cannot be bound.
  ConfigService(boost::asio::io_context& context,
                const Settings& settings,
                HttpTableClient& table,
                ConfigHolder& holder,
                ServePermit& permit,
                const std::atomic<bool>& draining);

  /// Starts polling the table and gossiping.
  void Start();

  /// Announces a planned exit to the peers and deletes this daemon's row from
  /// the table. Call once, during the drain.
  boost::asio::awaitable<void> Leave();

  /// IP address and port on which messages from peers are received.
  [[nodiscard]] const std::string& peer_address() const noexcept {
    return channel_.address();
  }

  /// This daemon's position among the live daemons, by membership.
  [[nodiscard]] FleetPosition fleet() const noexcept { return fleet_; }

  /// Applies an operator's change; blocks the calling thread. Errors as for
  /// `ConfigNode::Apply`.
  [[nodiscard]] Result<v1::Change> Apply(const ChangeRequest& request,
                                         const ChangeOrigin& origin);

  /// Reads up to `limit` accepted changes, newest first; blocks the calling
  /// thread.
  ///
  /// \param before only revisions lower than this are read; 0 starts at the
  ///     newest.
  [[nodiscard]] Result<std::vector<v1::Change>> History(Revision before,
                                                        std::uint32_t limit);

  /// The other daemons, by membership; blocks the calling thread.
  [[nodiscard]] std::vector<MemberState> Members();

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Node = ConfigNode<HttpTableClient>;

  [[nodiscard]] Node MakeNode(const Settings& settings);
  void Send(const std::vector<OutgoingMessage>& messages);
  void Receive(const v1::PeerMessage& message);
  void Publish(const char* source);
  [[nodiscard]] FleetPosition PositionInFleet();
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> PollOnce();
  boost::asio::awaitable<void> GossipLoop();
  boost::asio::awaitable<void> MemberRowLoop();
  boost::asio::awaitable<bool> WriteOwnRow();
  boost::asio::awaitable<bool> ReadMemberRows();
  boost::asio::awaitable<void> RemoveSilentMemberRows(
      const std::vector<TableRow>& rows);
  boost::asio::awaitable<Result<v1::Change>> ApplyOnStrand(
      ChangeRequest request,
      ChangeOrigin origin);
  boost::asio::awaitable<Result<std::vector<v1::Change>>> ReadHistory(
      Revision before,
      std::uint32_t limit);
  boost::asio::awaitable<std::vector<MemberState>> ReadMembers();

  Strand strand_;
  const Settings& settings_;
  HttpTableClient& table_;
  ConfigHolder& holder_;
  ServePermit& permit_;
  const std::atomic<bool>& draining_;
  PeerChannel channel_;
  Node node_;
  std::atomic<FleetPosition> fleet_{FleetPosition{}};
  bool table_was_reachable_ = true;
  ServeReason last_reason_ = ServeReason::kConfirmed;
  std::uint64_t logged_malformed_count_ = 0;
};

}  // namespace sycamoreford
