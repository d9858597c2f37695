#pragma once

#include <memory>

#include "sycamoreford/settings/settings.h"

namespace sycamoreford {

/// A whole entry daemon: callers' front, operators' RPC and the loops behind
/// them, run by a pool of workers.
///
/// Thread safety: `Stop` may be called from any thread, also more than once.
class EntryDaemon {
 public:
  /// Binds all addresses.
  ///
  /// \throws std::system_error when an address can not be bound.
  explicit EntryDaemon(Settings settings);
  ~EntryDaemon();

  /// Runs until stopped by `Stop`, SIGTERM or SIGINT, then finishes what is in
  /// flight within the settings' bound.
  ///
  /// \returns whether every request in flight was finished.
  bool Run();

  /// Begins a planned stop.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sycamoreford
