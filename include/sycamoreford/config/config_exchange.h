#pragma once

#include <vector>

#include "sycamoreford/config/announcements.h"
#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// Exchanges the configuration with peers: applies the changes and snapshots in
/// their messages, fills in the answers, and keeps the pending announcements.
///
/// Does no I/O and reads no clock. Thread safety: none; the owner serializes
/// calls.
class ConfigExchange {
 public:
  /// Maximum size of the changes in one answer; if they are larger, a snapshot
  /// is sent instead.
  static constexpr std::size_t kMaxChangeBytes = 256UL * 1024;

  /// Precondition: `follower` outlives this object.
  explicit ConfigExchange(ConfigFollower& follower) : follower_(follower) {}

  /// Handles the configuration parts of a peer's message. Old and duplicate
  /// messages have no effect; invalid changes and snapshots are skipped.
  ///
  /// \param answer receives what the peer requested, acknowledgements, and a
  ///     request for changes that are missing here.
  /// \returns whether `answer` is to be sent.
  bool Receive(const v1::PeerMessage& message,
               v1::PeerMessage& answer,
               TimePoint now);

  /// Adds a request for the missing changes to `message` when a higher revision
  /// than the one in force is known.
  ///
  /// \returns whether a request was added.
  bool RequestMissingChanges(v1::PeerMessage& message) const;

  /// Whether a change above the revision in force has been announced.
  [[nodiscard]] bool HasPendingAnnouncement();

  [[nodiscard]] Announcements& announcements() noexcept {
    return announcements_;
  }

  /// Total number of invalid changes and snapshots received from peers.
  [[nodiscard]] std::uint64_t invalid_offers() const noexcept {
    return invalid_offers_;
  }

 private:
  /// Adds the changes above `after`, or a snapshot when not all of them are
  /// available or they are larger than `kMaxChangeBytes`.
  void AddChangesSince(Revision after, v1::PeerMessage& answer) const;
  void CountIfInvalid(OfferResult offered);

  ConfigFollower& follower_;
  Announcements announcements_;
  std::uint64_t invalid_offers_ = 0;
};

}  // namespace sycamoreford
