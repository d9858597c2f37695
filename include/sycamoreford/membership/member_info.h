#pragma once

#include <cstdint>
#include <string>

#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// Identity of a member in gossip: the low half of XXH64 of its name. A daemon
/// that knows a member rejects another name with the same id. Among 390 names
/// the probability of such a collision is about 1 in 57,000.
using MemberId = StrongId<struct MemberIdTag, std::uint32_t>;

/// The id of the member with this name.
[[nodiscard]] MemberId MemberIdOf(const std::string& name);

/// Identity and location of a daemon.
struct MemberInfo {
  std::string name;
  /// Where the daemon receives peer messages.
  std::string address;
  std::string data_centre;
  std::string region;
  /// Increases with each start of the daemon.
  std::uint64_t incarnation = 0;
};

/// The protobuf form of a member, as sent in gossip and stored in the table.
[[nodiscard]] v1::Member ToMessage(const MemberInfo& info);

}  // namespace sycamoreford
