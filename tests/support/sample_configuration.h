#pragma once

#include <string>

#include "support/sample_engine.h"
#include "sycamoreford/relay/manifest.h"

namespace sycamoreford::support {

/// A configuration of revision 1 with the routes `/stream/` to the model
/// service `model`, whose accelerators of kind `whole` hold all layers, and
/// `/safe/`, `/once/` and `/plain-stream/` to the service `plain`, for the host
/// `a.example`.
inline Manifest::Builder SampleConfiguration(bool allows_anonymous = false) {
  RelayService model;
  model.name = "model";
  model.engine = SampleEngine();
  model.engine->kinds["whole"] = {300'000, 1, 1};
  RelayService plain;
  plain.name = "plain";
  Manifest::Builder builder(1);
  const auto add = [&](const std::string& path, RetryPolicy retry_policy,
                       const std::string& service) {
    RelayRoute route;
    route.name = path;
    route.host = "a.example";
    route.path_prefix = "/" + path + "/";
    route.retry_policy = retry_policy;
    route.streams = path.find("stream") != std::string::npos;
    route.max_attempts = 2;
    route.allows_anonymous = allows_anonymous;
    route.services = {{service, 1}};
    builder.AddRoute(route);
  };
  add("stream", RetryPolicy::kResumable, "model");
  add("safe", RetryPolicy::kIdempotent, "plain");
  add("once", RetryPolicy::kAtMostOnce, "plain");
  add("plain-stream", RetryPolicy::kResumable, "plain");
  return builder.AddService(model).AddService(plain);
}

}  // namespace sycamoreford::support
