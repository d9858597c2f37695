// Shows how LeavingTracker combines the sources that report an endpoint as
// leaving, and that an outdated VM list does not undo the endpoint's own
// report.
#include <iostream>

#include "sycamoreford/endpoints/leaving_tracker.h"

int main() {
  using namespace sycamoreford;  // NOLINT(google-build-using-namespace)
  const EndpointId id("a1");
  const std::string address = "10.0.0.7:9001";
  const TimePoint start = SteadyClock().Now();
  const auto at = [start](int seconds) {
    return start + std::chrono::seconds(seconds);
  };
  const auto show = [&id](const LeavingTracker& tracker, const char* event) {
    std::cout << event << ": leaving according to "
              << ToString(tracker.SourcesOf(id)) << '\n';
  };

  LeavingTracker tracker;
  tracker.SetEndpoints({{id, address, false}});
  show(tracker, "at first");
  tracker.OnState(id, address, true, at(1));
  show(tracker, "the endpoint reports that it is leaving");
  tracker.OnVmList({{"10.0.0.7", false}}, at(2));
  show(tracker, "the VM list still has its VM as live");
  tracker.OnVmList({{"10.0.0.7", true}}, at(20));
  show(tracker, "the VM list is up to date");
  tracker.OnState(id, address, false, at(21));
  tracker.OnVmList({}, at(22));
  show(tracker, "the endpoint and the VM list report that it stays");
  return 0;
}
