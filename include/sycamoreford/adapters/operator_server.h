#pragma once

#include <memory>
#include <string>

#include "sycamoreford/adapters/config_service.h"
#include "sycamoreford/adapters/entry_state.h"

namespace sycamoreford {

/// Serves the operators' RPC of proto/sycamoreford/v1/operator.proto.
///
/// Thread safe; calls run on a separate, bounded thread pool.
class OperatorServer {
 public:
  /// Binds the address and starts serving. Precondition: `state` and
  /// `config_service` outlive this object.
  ///
  /// \throws std::system_error if the address cannot be bound.
  OperatorServer(EntryState& state, ConfigService& config_service);
  ~OperatorServer();

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Stops serving and ends all calls, including watch streams; blocks until
  /// they have ended.
  void Close();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sycamoreford
