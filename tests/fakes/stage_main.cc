// A fake model stage as a process; see fake_stage.h for its behaviour and for
// the faults that it injects on request over HTTP.
#include <iostream>

#include <tclap/CmdLine.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "fakes/fake_stage.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Fake model stage for tests");
  TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port",
                                      false, "127.0.0.1:0", "ADDRESS", command);
  TCLAP::ValueArg<std::string> model("", "model", "Model", false, "m", "NAME",
                                     command);
  TCLAP::ValueArg<std::string> version("", "version-name", "Model version",
                                       false, "1", "NAME", command);
  TCLAP::ValueArg<unsigned> first("", "first", "First layer", false, 0, "N",
                                  command);
  TCLAP::ValueArg<unsigned> end("", "end", "Layer after the last", false, 1,
                                "N", command);
  TCLAP::ValueArg<double> rate("", "tokens-per-second", "Throughput", false,
                               1000, "RATE", command);
  TCLAP::ValueArg<unsigned> latency("", "latency-us", "Latency of a token",
                                    false, 0, "US", command);
  TCLAP::ValueArg<unsigned> link("", "link-delay-us",
                                 "Network delay to the next stage", false, 0,
                                 "US", command);
  TCLAP::SwitchArg ignore_fencing(
      "", "ignore-fencing", "Accept orders with an outdated fencing token",
      command);
  command.parse(argc, argv);

  boost::asio::io_context context(1);
  sycamoreford::fakes::StageOptions options;
  options.listen = listen.getValue();
  options.model = model.getValue();
  options.version = version.getValue();
  options.first_layer = first.getValue();
  options.end_layer = end.getValue();
  options.tokens_per_second = rate.getValue();
  options.latency = std::chrono::microseconds(latency.getValue());
  options.link_delay = std::chrono::microseconds(link.getValue());
  options.checks_fencing = !ignore_fencing.getValue();
  sycamoreford::fakes::FakeStage stage(context, options);
  std::cout << "event=listening address=" << stage.address() << std::endl;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
