#include "sycamoreford/adapters/leaving_recorder.h"

#include <algorithm>
#include <chrono>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

void LeavingRecorder::OnHead(const ResponseHead& head,
                             const std::string& sender,
                             const std::string& request_id,
                             LeavingSource source) {
  if (head.leaving_run) {
    // A response does not state the start of its run, which may be later than
    // the list shows, but not later than the request.
    if (!directory_.leaving().Contains(*head.leaving_run)) {
      RecordAndTell(
          {.run = *head.leaving_run, .until_ms = head.leaving_until_ms},
          source);
    }
  } else if (head.is_leaving) {
    LogEvent(Severity::kInfo, "leaving_not_noted")
        .With("endpoint", sender)
        .With("request", request_id)
        .With("status", head.status);
  }
}

void LeavingRecorder::OnStated(const EndpointRunId& run, LeavingSource source) {
  RecordAndTell({.run = run}, source);
}

void LeavingRecorder::OnTold(const LeavingRun& leaving) {
  Record(leaving, LeavingSource::kPeer);
}

bool LeavingRecorder::Record(LeavingRun leaving, LeavingSource source) {
  // The clock of a daemon that tells may be ahead.
  leaving.until_ms = std::min(
      leaving.until_ms,
      ToWallClockMs(std::chrono::system_clock::now() - kMaxClockDifference));
  if (!directory_.OnLeaving(leaving)) {
    return false;
  }
  metrics_.OnLeaving(ToString(source));
  LogEvent(Severity::kInfo, "endpoint_leaving")
      .With("endpoint", leaving.run.id)
      .With("started_at_ms", leaving.run.started_at_ms)
      .With("until_ms", leaving.until_ms)
      .With("source", ToString(source));
  return true;
}

void LeavingRecorder::RecordAndTell(const LeavingRun& leaving,
                                    LeavingSource source) {
  if (!Record(leaving, source)) {
    return;
  }
  if (notify_) {
    notify_(leaving);
  }
  if (identify_ && source == LeavingSource::kResponse) {
    identify_(leaving.run.id);
  }
}

}  // namespace sycamoreford
