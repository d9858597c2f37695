#pragma once

#include <set>
#include <string>

namespace sycamoreford {

/// What a model engine has loaded, or is to have loaded.
struct EngineState {
  std::string model;
  /// Model version; empty when nothing is loaded.
  std::string version;
  std::set<std::string> adapters;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

}  // namespace sycamoreford
