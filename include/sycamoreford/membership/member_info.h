#pragma once

#include <cstdint>
#include <string>

#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// Identity of a member in gossip: the low half of XXH64 of its name. Two names
/// with one id are refused by whoever meets both; at 390 names that happens to
/// one set in about 57,000.
using MemberId = StrongId<struct MemberIdTag, std::uint32_t>;

/// The id of a name.
[[nodiscard]] MemberId MemberIdOf(const std::string& name);

/// Who a daemon is and where it takes its peers' messages.
struct MemberInfo {
  std::string name;
  std::string address;
  std::string data_centre;
  std::string region;
  /// Rises with each start of the daemon.
  std::uint64_t incarnation = 0;
};

/// The message that introduces a member, in gossip and in the table.
[[nodiscard]] v1::Member ToMessage(const MemberInfo& info);

}  // namespace sycamoreford
