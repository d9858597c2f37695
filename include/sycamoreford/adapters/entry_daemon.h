#pragma once

#include <memory>

#include "sycamoreford/settings/settings.h"

namespace sycamoreford {

/// An entry daemon: the HTTP server for callers, the RPC server for operators
/// and their background loops, run by a pool of worker threads.
///
/// Thread safety: `Stop` may be called from any thread, also more than once.
class EntryDaemon {
 public:
  /// Binds all addresses.
  ///
  /// \throws std::system_error if an address cannot be bound.
  explicit EntryDaemon(Settings settings);
  ~EntryDaemon();

  /// Runs until `Stop`, SIGTERM or SIGINT, then drains the requests in flight
  /// within the drain timeout of the settings.
  ///
  /// \returns whether the drain ended without cutting off connections.
  bool Run();

  /// Starts a planned stop.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sycamoreford
