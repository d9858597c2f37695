#include "sycamoreford/fleet/fleet_accelerators.h"

namespace sycamoreford {
namespace {

/// The layers that an endpoint is listed with; none if the model has no such
/// layers.
LayerRange KnownLayers(const EndpointRecord& record,
                       const EngineProfile& engine) {
  return record.layers.end <= engine.layers ? record.layers : LayerRange{};
}

}  // namespace

std::vector<Accelerator> AcceleratorsOf(const EndpointDirectory& directory,
                                        const RelayService& service,
                                        TimePoint now,
                                        bool only_usable) {
  std::vector<Accelerator> accelerators;
  for (const auto& [id, known] : directory.endpoints()) {
    const EndpointRecord& record = known.record;
    if (record.service != service.name ||
        (only_usable && !known.IsUsable(now))) {
      continue;
    }
    const auto kind = service.engine->kinds.find(record.kind);
    if (kind == service.engine->kinds.end()) {
      continue;
    }
    accelerators.push_back({.id = id,
                            .address = record.address,
                            .data_centre = record.data_centre,
                            .kind = kind->second,
                            .layers = KnownLayers(record, *service.engine)});
    accelerators.back().kind.decode_factor *= known.slowness;
    accelerators.back().kind.prefill_factor *= known.slowness;
    accelerators.back().slowness = known.slowness;
  }
  return accelerators;
}

}  // namespace sycamoreford
