#pragma once

#include <set>
#include <string>

namespace sycamoreford {

/// The model version and adapters that an engine has loaded, or should load.
struct EngineState {
  std::string model;
  /// Model version; empty if no model is loaded.
  std::string version;
  std::set<std::string> adapters;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

}  // namespace sycamoreford
