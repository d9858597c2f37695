#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_record.h"
#include "sycamoreford/fleet/leaving_endpoints.h"

namespace sycamoreford {

/// An endpoint's announcement and what requests observed of it.
struct KnownEndpoint {
  EndpointRecord record;
  /// Not used before this time, because a request suspected a failure.
  TimePoint suspected_until{};
  /// Suspicions in a row without a response, counted up to 2; each doubles the
  /// duration of the next.
  std::uint32_t consecutive_suspicions = 0;
  /// Requests that it refused as a stage of a chain since one passed through
  /// it.
  std::uint32_t consecutive_refusals = 0;
  /// Set when the announcement was removed: the endpoint is dropped at this
  /// time unless it is announced again.
  std::optional<TimePoint> drop_at;
  /// Factor by which it is slower than usual for its kind of accelerator, as it
  /// last reported; 1 is normal.
  double slowness = 1;
  /// Whether this daemon itself could not reach it, as far as is known others
  /// can.
  bool is_out_of_reach = false;
  /// Whether it has responded since it was suspected, so that it is used again
  /// when `suspected_until` has passed.
  bool is_recovering = false;

  [[nodiscard]] bool IsUsable(TimePoint now) const noexcept {
    return !record.is_leaving && now >= suspected_until &&
           (!drop_at || now < *drop_at);
  }
};

/// Endpoints by id: the announced list, combined with what requests observed.
///
/// A removal takes effect at once, except right after the list was unreachable:
/// announcements that expired during the outage are renewed within a bounded
/// time, and dropping all endpoints until then would stop the service. A run of
/// an endpoint that is known to be leaving remains so, also if it is dropped
/// and announced as sound again.
///
/// Thread safety: none.
class EndpointDirectory {
 public:
  using Map = std::map<std::string, KnownEndpoint, std::less<>>;

  /// Adds or updates an endpoint from its announcement.
  void Upsert(EndpointRecord record);

  /// Handles the removal of an announcement.
  ///
  /// \param grace time until the endpoint is dropped; 0 drops it at once.
  void Remove(std::string_view id, TimePoint now, Duration grace);

  /// Replaces the whole list; endpoints missing from it are removed as by
  /// `Remove`.
  void Replace(std::vector<EndpointRecord> records,
               TimePoint now,
               Duration grace);

  /// Drops endpoints whose grace period has ended, and forgets runs that left
  /// long ago.
  ///
  /// \returns whether any was dropped.
  bool Expire(TimePoint now);

  /// Marks an endpoint as suspected: a request found it dead, unresponsive or
  /// different from its announcement.
  ///
  /// \returns how long it will not be used; 0 if the id is unknown.
  Duration Suspect(std::string_view id, TimePoint now);

  /// A suspected endpoint has responded; shortens the suspicion to a short
  /// recovery delay, unless it has refused several requests in a row: one that
  /// leaves responds to inspections, but takes no work.
  void OnAlive(std::string_view id, TimePoint now);

  /// The endpoint refused a request as a stage of a chain.
  void OnRefused(std::string_view id);

  /// A request has passed through the endpoint.
  void OnPassed(std::string_view id);

  /// The endpoint reported its slowness. Small changes are ignored.
  ///
  /// \returns whether the stored value changed.
  bool OnSlowness(std::string_view id, double slowness);

  /// Records whether this daemon alone cannot reach the endpoint.
  void SetOutOfReach(std::string_view id, bool is_out_of_reach);

  /// The endpoint responded to a request.
  void OnSuccess(std::string_view id);

  /// Runs of an endpoint, which need not be listed, are leaving.
  ///
  /// \returns whether this was not known.
  bool OnLeaving(const LeavingRun& leaving);

  [[nodiscard]] const LeavingEndpoints& leaving() const noexcept {
    return leaving_;
  }

  /// The endpoint reported the layers that it holds; the list may show them
  /// later. Precondition: the report is newer than the list.
  void OnLayers(std::string_view id, LayerRange layers);

  [[nodiscard]] const Map& endpoints() const noexcept { return endpoints_; }
  [[nodiscard]] const KnownEndpoint* Find(std::string_view id) const;
  [[nodiscard]] const KnownEndpoint* FindByAddress(
      std::string_view address) const;

  /// Incremented by each change that affects routing.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  Map endpoints_;
  LeavingEndpoints leaving_;
  std::uint64_t version_ = 1;
};

}  // namespace sycamoreford
