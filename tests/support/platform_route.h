#pragma once

#include <string>

namespace sycamoreford::support {

/// A route of the service `plain` in a configuration of the users' platform.
struct PlatformRoute {
  std::string name{};
  std::string kind = "safe";
  int time_limit_ms = 5'000;
  int target_latency_ms = 500;
  bool allows_anonymous = true;
  std::string service = "plain";

  /// As JSON; the path prefix is the name.
  [[nodiscard]] std::string ToText() const {
    return R"({"Name":")" + name + R"(","Host":"a.example","PathPrefix":"/)" +
           name + R"(/","Kind":")" + kind + R"(","TimeoutMs":)" +
           std::to_string(time_limit_ms) + R"(,"TargetLatencyMs":)" +
           std::to_string(target_latency_ms) +
           R"(,"MaxAttempts":2,"Service":")" + service +
           R"(","AllowAnonymous":)" + (allows_anonymous ? "true}" : "false}");
  }
};

}  // namespace sycamoreford::support
