#pragma once

#include <vector>

#include "sycamoreford/config/announcements.h"
#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/v1/peer.pb.h"

namespace sycamoreford {

/// Spreads the configuration among daemons: takes and gives changes and
/// snapshots, and keeps note of announced changes.
///
/// No I/O and no clock of its own. Thread safety: none; the owner serializes.
class ConfigExchange {
 public:
  /// Most bytes of changes in one answer; beyond it a snapshot is sent.
  static constexpr std::size_t kMaxChangeBytes = 256UL * 1024;

  /// Precondition: `follower` outlives this object.
  explicit ConfigExchange(ConfigFollower& follower) : follower_(follower) {}

  /// Takes in what a peer tells of the configuration. Old and doubled messages
  /// change nothing; an invalid change or snapshot is passed over.
  ///
  /// \param answer filled with what the peer asked for or has to be told.
  /// \returns whether `answer` is to be sent.
  bool Receive(const v1::PeerMessage& message,
               v1::PeerMessage& answer,
               TimePoint now);

  /// Asks in `message` for what is missing here, if anything is.
  ///
  /// \returns whether something was asked for.
  bool RequestMissingChanges(v1::PeerMessage& message) const;

  /// Whether a change above the revision in force was announced here.
  [[nodiscard]] bool HasPendingAnnouncement();

  [[nodiscard]] Announcements& announcements() noexcept {
    return announcements_;
  }

  /// Changes and snapshots of peers that were not valid, so far.
  [[nodiscard]] std::uint64_t invalid_offers() const noexcept {
    return invalid_offers_;
  }

 private:
  void AddChangesSince(Revision after, v1::PeerMessage& answer) const;
  void CountIfInvalid(OfferResult offered);

  ConfigFollower& follower_;
  Announcements announcements_;
  std::uint64_t invalid_offers_ = 0;
};

}  // namespace sycamoreford
