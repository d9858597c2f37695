#pragma once

#include <string>

#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// A message and the address of the peer to send it to. Delivery is not
/// guaranteed.
struct OutgoingMessage {
  std::string address;
  v1::PeerMessage message;
};

}  // namespace sycamoreford
