#pragma once

#include <memory>
#include <string>

#include "sycamoreford/adapters/config_service.h"
#include "sycamoreford/adapters/entry_state.h"

namespace sycamoreford {

/// Serves the operators' RPC of proto/sycamoreford/v1/operator.proto.
///
/// Thread safe; its calls run on a bounded set of threads of their own.
class OperatorServer {
 public:
  /// Binds and starts to serve. Precondition: `state` and `config` outlive
  /// this object.
  ///
  /// \throws std::system_error when the address can not be bound.
  OperatorServer(EntryState& state, ConfigService& config);
  ~OperatorServer();

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Ends all calls, watch streams included.
  void Close();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sycamoreford
