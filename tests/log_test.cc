// Each event is logged as one line of key=value pairs, without secrets.
#include <catch2/catch.hpp>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::TestDeployment;

std::string LineWith(const std::string& output, const std::string& text) {
  std::istringstream lines(output);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(text) != std::string::npos) {
      return line;
    }
  }
  return {};
}

TEST_CASE("each request is logged with its customer and outcome") {
  TestDeployment deployment({});
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Secret bells", 5, true))
              ->status == 200);
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Ring", 5, false, "wrong-key"))
              ->status == 401);
  HttpRequest unknown = TestDeployment::ChatRequest("Ring", 5, false);
  unknown.target = "/v1/none?a=b%0Aevent=forged";
  REQUIRE(Fetch(deployment.caller_address(0), unknown)->status == 404);
  const std::string output = deployment.daemon(0).Output();
  const std::string answered = LineWith(output, "customer=ringers attempts=1");
  INFO(output);
  REQUIRE(answered.find("event=request") != std::string::npos);
  REQUIRE(answered.find("request=") != std::string::npos);
  REQUIRE(answered.find("ms=") != std::string::npos);
  const std::string refused = LineWith(output, "customer=_unrecognized");
  REQUIRE(refused.find("attempts=0") != std::string::npos);
  REQUIRE(refused.find("error=unauthorized outcome=not_run") !=
          std::string::npos);
  for (const char* secret : {"Secret bells", "wrong-key", "ringers-key",
                             "operator-token", "event=forged"}) {
    REQUIRE(output.find(secret) == std::string::npos);
  }
}

}  // namespace
}  // namespace sycamoreford
