#include "sycamoreford/relay/call_log.h"

#include "sycamoreford/core/log.h"

namespace sycamoreford {

void CallLog::Log(std::string_view event, const Counts& counts) {
  Counts& logged = logged_[std::string(event)];
  if (logged == counts) {
    return;
  }
  LogEvent line(Severity::kInfo, event);
  for (const auto& [kind, count] : counts) {
    if (count != logged[kind]) {
      line.With(kind, count - logged[kind]);
    }
  }
  logged = counts;
}

}  // namespace sycamoreford
