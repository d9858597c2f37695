#pragma once

#include <string>

namespace sycamoreford {

/// One entry of the platform's list of VMs.
struct ListedVm {
  /// IP address of the VM, or IP address and port of one process on it.
  std::string address;
  bool leaving = false;
};

}  // namespace sycamoreford
