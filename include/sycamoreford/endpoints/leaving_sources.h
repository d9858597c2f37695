#pragma once

#include <string>

namespace sycamoreford {

/// The sources that currently report an endpoint as leaving.
struct LeavingSources {
  /// The configuration, set by operators.
  bool operators = false;
  /// The platform's list of VMs, as last fetched.
  bool vm_list = false;
  /// The endpoint itself, through its state or by refusing an attempt.
  bool endpoint = false;

  /// Whether at least one source reports the endpoint as leaving.
  [[nodiscard]] bool any() const noexcept {
    return operators || vm_list || endpoint;
  }
  friend bool operator==(const LeavingSources&,
                         const LeavingSources&) = default;
};

/// Comma-separated names for logs, for example `list,endpoint`; `none` if no
/// source is set.
[[nodiscard]] std::string ToString(const LeavingSources& sources);

}  // namespace sycamoreford
