#pragma once

#include <string>

namespace sycamoreford {

/// Who says at present that an endpoint is leaving.
struct LeavingSources {
  /// The operators' configuration.
  bool operators = false;
  /// The platform's list of VMs, as last read.
  bool vm_list = false;
  /// The endpoint itself, in its state or by refusing an attempt.
  bool endpoint = false;

  /// Whether any of them says so.
  [[nodiscard]] bool any() const noexcept {
    return operators || vm_list || endpoint;
  }
  friend bool operator==(const LeavingSources&,
                         const LeavingSources&) = default;
};

/// The sources as logs show them, for example `list,endpoint`.
[[nodiscard]] std::string ToString(const LeavingSources& sources);

}  // namespace sycamoreford
