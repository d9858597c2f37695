// Steps through the states of a planned stop of a daemon.
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
  show("SIGTERM received; readiness fails, requests are still accepted");
  machine.OnStopRequested(now);
  show("SIGTERM received again; nothing changes");
  now += std::chrono::seconds(2);
  machine.OnTick(now, 3);
  show(
      "the notice period for the load balancer is over; the listener is "
      "closed");
  now += std::chrono::seconds(40);
  machine.OnTick(now, 1);
  show("one stream is still in flight");
  machine.OnTick(now, 0);
  show("the last stream has ended");
  const bool done = machine.OnHandedOver().has_value();
  show("leases are handed over");
  return done && machine.cut_off() == 0 ? 0 : 1;
}
