#pragma once

#include "sycamoreford/core/failure.h"
#include "sycamoreford/metrics/metrics_snapshot.h"
#include "sycamoreford/v1/operator.pb.h"

namespace sycamoreford {

/// Converts metrics to a message of the operators' RPC; the name of the daemon
/// is not set.
[[nodiscard]] v1::MetricsReply ToMessage(const MetricsSnapshot& snapshot);

/// Converts a message to metrics, for example to aggregate the metrics of
/// several daemons. Unknown error types are counted as `kInternal`.
///
/// \returns the metrics. Errors: `kMalformed` if the histogram bins or the
///     array sizes differ from those of this version.
[[nodiscard]] Result<MetricsSnapshot> FromMessage(
    const v1::MetricsReply& message);

}  // namespace sycamoreford
