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

namespace sycamoreford {

/// What is known of an endpoint: its announcement and what requests saw.
struct KnownEndpoint {
  EndpointRecord record;
  /// Not to be used before this time.
  TimePoint suspected_until{};
  /// Suspicions in a row without a success; each doubles the next.
  std::uint32_t consecutive_suspicions = 0;
  /// The announcement is gone, and the endpoint is dropped at this time unless
  /// it is announced again.
  std::optional<TimePoint> drop_at;
  /// Times as long as its kind usually takes, as it last stated.
  double slowness = 1;

  [[nodiscard]] bool IsUsable(TimePoint now) const noexcept {
    return !record.is_leaving && now >= suspected_until &&
           (!drop_at || now < *drop_at);
  }
};

/// Endpoints by id: the announced list, joined with what requests observed.
///
/// A removal counts at once, except right after the list was unreachable:
/// announcements that lapsed meanwhile come back within a bound, and dropping
/// all endpoints at that moment would stop the service. An endpoint known to be
/// leaving stays so for its run.
///
/// Thread safety: none.
class EndpointDirectory {
 public:
  using Map = std::map<std::string, KnownEndpoint, std::less<>>;

  /// Takes over an announcement.
  void Upsert(EndpointRecord record);

  /// An announcement was removed.
  ///
  /// \param grace time until it is dropped; 0 drops it at once.
  void Remove(std::string_view id, TimePoint now, Duration grace);

  /// Replaces the whole list; what is missing is removed as by `Remove`.
  void Replace(std::vector<EndpointRecord> records,
               TimePoint now,
               Duration grace);

  /// Drops endpoints whose grace has ended.
  ///
  /// \returns whether any was dropped.
  bool Expire(TimePoint now);

  /// A request found the endpoint dead, silent or not what it announced.
  ///
  /// \returns how long it is not used; 0 when the id is unknown.
  Duration Suspect(std::string_view id, TimePoint now);

  /// A suspected endpoint was found to live; it is spared for a moment only.
  void OnAlive(std::string_view id, TimePoint now);

  /// The endpoint stated how slow it is. Small changes are passed over.
  bool OnSlowness(std::string_view id, double slowness);

  /// A request was answered by the endpoint.
  void OnSuccess(std::string_view id);

  /// The endpoint said that it is leaving.
  void OnLeaving(std::string_view id);

  /// Layers that the endpoint itself says it holds; the list may show them
  /// later. Precondition: the statement is newer than the list's.
  void OnLayers(std::string_view id, LayerRange layers);

  [[nodiscard]] const Map& endpoints() const noexcept { return endpoints_; }
  [[nodiscard]] const KnownEndpoint* Find(std::string_view id) const;
  [[nodiscard]] const KnownEndpoint* FindByAddress(
      std::string_view address) const;

  /// Rises with each change that routing has to follow.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  Map endpoints_;
  std::uint64_t version_ = 1;
};

}  // namespace sycamoreford
