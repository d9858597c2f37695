#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "sycamoreford/admission/fair_queue.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/relay/decaying_sum.h"

namespace sycamoreford {

/// A request that needs room on a chain.
struct ChainRequest {
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  CustomerId customer;
  /// Expected size of the request and its response.
  double tokens = 0;
  /// Target for the time to the first event.
  std::chrono::milliseconds target_latency{0};
  /// When its caller gives up.
  TimePoint deadline = TimePoint::max();
  /// Whether it was sent to a chain before that did not complete it.
  bool was_sent = false;
  /// When its caller received the last event; nothing if it received none.
  std::optional<TimePoint> last_event{};
};

/// Decides in which order the requests of this daemon for one model service get
/// room on its chains, how long they wait for it, and when callers that are
/// refused come back.
///
/// Answers a load in which more requests come than fit, of which some are more
/// urgent and some customers send far more than others:
///
/// - a request leaves room for what more urgent ranks are expected to start
///   before this daemon hears of it (trunk reservation; Kelly, "Loss networks",
///   1991), unless its own rank would starve;
/// - it waits if its first event can still be on time, in order of rank and of
///   customers' shares, else it is refused at once;
/// - streams that have begun go first, for as long as their callers wait.
///
/// Performs no I/O and reads no clock. Precondition of all methods: `now` never
/// decreases between calls.
///
/// Thread safety: none.
class ChainAdmission {
 public:
  /// Time from the start of a request until other daemons may hear of it: the
  /// first response of its chain, which states the load, and a datagram.
  static constexpr std::chrono::milliseconds kReportDelay{100};
  /// Callers of a stream that has begun give up after a pause of this time.
  static constexpr std::chrono::milliseconds kMaxPause{2'000};

  /// What became of a request that needs room.
  struct Entered {
    /// Empty if it is refused at once.
    std::optional<AdmissionId> id;
    /// A request that waited, would start later, and is refused in its place.
    std::optional<AdmissionId> evicted;
  };

  /// Adds a request that waits for room. It may start when it is `Next`. No
  /// more requests wait than are expected to start within the longest wait, so
  /// that nobody waits in vain.
  Entered Enter(const ChainRequest& request, TimePoint now);

  /// The request that may start next, if a chain has room for it.
  [[nodiscard]] std::optional<AdmissionId> Next() const {
    return queue_.Next();
  }

  /// Share of the room of a chain that a request of this rank leaves free.
  ///
  /// \param knowledge_age age of what this daemon knows of the chains' loads.
  [[nodiscard]] double ReservedShare(const ChainRequest& request,
                                     Duration knowledge_age,
                                     TimePoint now) const;

  /// Starts a request. Precondition: it is `Next`.
  void Start(AdmissionId id, TimePoint now);

  /// Called when a request leaves. One that has not started was refused, unless
  /// its caller has left.
  ///
  /// \param is_refused whether this daemon refused it.
  void Leave(AdmissionId id, bool is_refused, TimePoint now);

  /// Called when the first event of a request came from its chain.
  void OnFirstEvent(Duration since_start);

  /// When a request stops waiting; nothing if it does not wait.
  [[nodiscard]] std::optional<TimePoint> ExpiryOf(AdmissionId id) const {
    return queue_.ExpiryOf(id);
  }

  /// How long a refused request of this rank stays away, so that it is likely
  /// to be served then.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(std::uint32_t rank,
                                                     TimePoint now) const;

  [[nodiscard]] std::uint32_t waiting() const noexcept {
    return queue_.waiting();
  }
  [[nodiscard]] std::uint32_t running() const noexcept {
    return queue_.running();
  }

 private:
  /// Over which requests of each rank are counted. A daemon may see a few a
  /// second.
  static constexpr std::chrono::seconds kRankTime{10};
  /// Over which the load of the moment is measured.
  static constexpr std::chrono::seconds kLoadTime{2};

  /// Tokens of requests of one rank.
  struct RankTokens {
    DecayingSum asked{kRankTime};
    DecayingSum started{kRankTime};
    DecayingSum asked_lately{kLoadTime};
    DecayingSum refused_lately{kLoadTime};
  };

  struct Request {
    ChainRequest request;
    std::optional<TimePoint> started_at;
  };

  /// How long a request that has not begun may wait.
  [[nodiscard]] Duration MaxWait(const ChainRequest& request) const;
  /// Whether less of a waiting request's rank starts than it needs to be served
  /// at all.
  [[nodiscard]] bool IsStarving(const ChainRequest& request,
                                TimePoint now) const;

  FairQueue queue_;
  std::map<AdmissionId, Request> requests_;
  std::map<std::uint32_t, RankTokens> ranks_;
  DecayingSum starts_{kLoadTime};
  /// Waiting requests that have not begun.
  std::uint32_t new_waiting_ = 0;
  /// Smoothed time from start to end and to the first event of a request.
  Duration mean_duration_{std::chrono::seconds(2)};
  Duration mean_first_event_{0};
  std::uint64_t next_id_ = 1;
};

}  // namespace sycamoreford
