#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/chain.h"
#include "sycamoreford/route/endpoint_load.h"

namespace sycamoreford {

/// What became of an attempt, as far as one endpoint is concerned.
enum class EndpointVerdict {
  kGood,
  kBad,
  /// It was in a chain that was slow or silent; it may be another's fault.
  kSlow,
};

/// What this daemon knows of all endpoints; shared by the workers.
///
/// Thread safe. Lock rank `kEndpoints`; a leaf in the request path.
class EndpointTable {
 public:
  /// Load as seen at one moment; models `LoadSource`.
  class View {
   public:
    [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const;

   private:
    friend class EndpointTable;
    std::map<EndpointId, EndpointLoad> loads_;
  };

  /// A consistent copy for planning.
  [[nodiscard]] View Snapshot(TimePoint now) const;

  /// Counts a request at every stage of `chain`.
  void Begin(const Chain& chain);

  /// Uncounts a request. Precondition: `Begin` was called with this chain.
  void End(const Chain& chain);

  /// Records how an endpoint behaved. Failures in a row lengthen the time
  /// until it is tried again, up to a bound.
  void Report(const EndpointId& id, EndpointVerdict verdict, TimePoint now);

  /// Records what an endpoint or the platform's list says of leaving.
  void SetLeaving(const EndpointId& id, bool is_leaving);

 private:
  struct Entry {
    std::uint32_t in_flight = 0;
    bool is_leaving = false;
    std::uint32_t failures = 0;
    TimePoint suspected_until{};
  };

  mutable RankedMutex mutex_{LockRank::kEndpoints};
  std::map<EndpointId, Entry> entries_;
};

/// Counts a request at the stages of a chain for as long as it lives.
class ChainHold {
 public:
  ChainHold(EndpointTable& table, Chain chain);
  ~ChainHold();
  ChainHold(const ChainHold&) = delete;
  ChainHold& operator=(const ChainHold&) = delete;

 private:
  EndpointTable& table_;
  Chain chain_;
};

}  // namespace sycamoreford
