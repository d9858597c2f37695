// Shows how the sources that say that an endpoint leaves are united, and why a
// list that lags can not bring it back.
#include <iostream>

#include "sycamoreford/endpoints/leaving_view.h"

int main() {
  using namespace sycamoreford;  // NOLINT(google-build-using-namespace)
  const EndpointId id("a1");
  const std::string address = "10.0.0.7:9001";
  const TimePoint start = SteadyClock().Now();
  const auto at = [start](int seconds) {
    return start + std::chrono::seconds(seconds);
  };
  const auto show = [&id](const LeavingView& view, const char* event) {
    std::cout << event << ": leaving according to "
              << ToString(view.SourcesOf(id)) << '\n';
  };

  LeavingView view;
  view.OnEndpoints({{id, address, false}});
  show(view, "at first");
  view.OnState(id, address, true, at(1));
  show(view, "the endpoint says that it leaves");
  view.OnList({{"10.0.0.7", false}}, at(2));
  show(view, "the list still calls its VM live");
  view.OnList({{"10.0.0.7", true}}, at(20));
  show(view, "the list has caught up");
  view.OnState(id, address, false, at(21));
  view.OnList({}, at(22));
  show(view, "the endpoint stays after all, and the list agrees");
  return 0;
}
