#include "sycamoreford/claim/claim.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <boost/json.hpp>

#include "sycamoreford/config/configuration.h"

namespace sycamoreford {

namespace json = boost::json;

namespace {

constexpr std::array kStateNames = {"taken", "answered", "unknown", "released"};

const char* NameOf(ClaimState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

ClaimState StateOf(const std::string& name) {
  const auto* const found =
      std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end()) {
    throw std::invalid_argument("state");
  }
  return static_cast<ClaimState>(found - kStateNames.begin());
}

}  // namespace

std::string ClaimRowKey(const ClaimKey& key) {
  return kClaimPrefix + key.customer.value() + "/" + HashSecret("", key.key);
}

std::string ClaimDigest(const std::string& service,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body) {
  return HashSecret(service + " " + method + " " + target + "\n", body);
}

std::string SerializeClaim(const Claim& claim) {
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      claim.deadline.time_since_epoch());
  json::object object{{"state", NameOf(claim.state)},
                      {"write_id", claim.write_id},
                      {"digest", claim.digest},
                      {"deadline_ms", deadline.count()}};
  if (claim.state == ClaimState::kAnswered) {
    object["status"] = claim.response.status;
    object["content_type"] = claim.response.content_type;
    object["body"] = claim.response.body;
  }
  return json::serialize(object);
}

Result<Claim> ParseClaim(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    Claim claim;
    claim.state = StateOf(json::value_to<std::string>(value.at("state")));
    claim.write_id = json::value_to<std::string>(value.at("write_id"));
    claim.digest = json::value_to<std::string>(value.at("digest"));
    claim.deadline =
        std::chrono::system_clock::time_point(std::chrono::milliseconds(
            value.at("deadline_ms").to_number<std::int64_t>()));
    if (claim.state == ClaimState::kAnswered) {
      claim.response.status = value.at("status").to_number<unsigned>();
      claim.response.content_type =
          json::value_to<std::string>(value.at("content_type"));
      claim.response.body = json::value_to<std::string>(value.at("body"));
    }
    return claim;
  } catch (const std::exception&) {
    return Failure{.code = Errc::kMalformed, .where = "claim"};
  }
}

}  // namespace sycamoreford
