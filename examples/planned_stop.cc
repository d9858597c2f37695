// Walks through a planned stop: what the daemon does, and when.
#include <iostream>

#include "sycamoreford/drain/drain_machine.h"

int main() {
  using namespace sycamoreford;  // NOLINT(google-build-using-namespace)
  DrainMachine machine({.notice_period = std::chrono::seconds(2),
                        .finish_timeout = std::chrono::seconds(130),
                        .hand_over_timeout = std::chrono::seconds(5)});
  TimePoint now = SteadyClock().Now();
  const auto show = [&machine](const char* event) {
    std::cout << event << ": " << ToString(machine.state()) << '\n';
  };

  show("before");
  machine.OnStopRequested(now);
  show("SIGTERM came; readiness fails, requests are still taken");
  machine.OnStopRequested(now);
  show("SIGTERM came again; nothing changes");
  now += std::chrono::seconds(2);
  machine.OnTick(now, 3);
  show("the balancer had time to notice; the listener is closed");
  now += std::chrono::seconds(40);
  machine.OnTick(now, 1);
  show("one long stream is left");
  machine.OnTick(now, 0);
  show("the last stream has ended");
  const bool done = machine.OnHandedOver().has_value();
  show("leases are handed over");
  return done && machine.cut_off() == 0 ? 0 : 1;
}
