#pragma once

#include <string>

#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// A message to send to a peer; it may be lost.
struct OutgoingMessage {
  std::string address;
  v1::PeerMessage message;
};

}  // namespace sycamoreford
