#pragma once

#include "sycamoreford/core/failure.h"
#include "sycamoreford/metrics/metrics_snapshot.h"
#include "sycamoreford/v1/operator.pb.h"

namespace sycamoreford {

/// Metrics as a message of the operators' RPC; the daemon's name is not set.
[[nodiscard]] v1::MetricsReply ToMessage(const MetricsSnapshot& snapshot);

/// Reads metrics from a message, for example to add up several daemons'.
/// Errors of a type that is not known are counted as `kInternal`.
///
/// \returns the metrics, or `kMalformed` when the bins are not this program's.
[[nodiscard]] Result<MetricsSnapshot> FromMessage(
    const v1::MetricsReply& message);

}  // namespace sycamoreford
