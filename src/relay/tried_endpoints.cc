#include "sycamoreford/relay/tried_endpoints.h"

#include <algorithm>
#include <utility>

#include "sycamoreford/relay/send_limits.h"

namespace sycamoreford {
namespace {

/// No id of an endpoint begins like this; it has no space, which separates ids
/// in messages.
constexpr char kPlacePrefix = '?';
/// Of placeholders that stand for no endpoint and fill the set up.
constexpr const char* kFillerPrefix = "?-";

/// Sends of a request by the daemon with the caller and by those that it is
/// forwarded to.
constexpr std::size_t kMaxSendsOfAll =
    static_cast<std::size_t>(relay::kMaxSends) * (1 + relay::kMaxForwards);

}  // namespace

TriedEndpoints::TriedEndpoints(std::size_t max_endpoints,
                               std::set<std::string> others)
    : max_endpoints_(std::min(max_endpoints, others.size() + 1)),
      all_(others),
      others_(std::move(others)) {}

void TriedEndpoints::Add(const std::string& endpoint) {
  all_.insert(endpoint);
  own_.insert(endpoint);
}

void TriedEndpoints::Remove(const std::string& endpoint) {
  own_.erase(endpoint);
  if (!others_.contains(endpoint)) {
    all_.erase(endpoint);
  }
}

TriedEndpoints::Place TriedEndpoints::Reserve() {
  if (!AllowsFurther()) {
    return {};
  }
  Place place = kPlacePrefix + std::to_string(++last_place_);
  all_.insert(place);
  return place;
}

void TriedEndpoints::Resolve(const Place& place,
                             const std::set<std::string>& endpoints) {
  all_.erase(place);
  all_.insert(endpoints.begin(), endpoints.end());
}

std::set<std::string> TriedEndpoints::ForPeer(const Place& place) const {
  std::set<std::string> tried = all_;
  if (tried.erase(place) == 0) {
    return tried;
  }
  const std::size_t bound = std::min(max_endpoints_, kMaxSendsOfAll);
  for (std::size_t i = 1; tried.size() + 1 < bound; ++i) {
    tried.insert(kFillerPrefix + std::to_string(i));
  }
  return tried;
}

bool TriedEndpoints::HasNamed() const {
  return std::any_of(all_.begin(), all_.end(), MayBeId);
}

std::size_t TriedEndpoints::CountUnnamed() const {
  return static_cast<std::size_t>(
      std::count_if(others_.begin(), others_.end(), [](const std::string& it) {
        return !MayBeId(it) && !it.starts_with(kFillerPrefix);
      }));
}

bool TriedEndpoints::MayBeId(const std::string& text) {
  return !text.starts_with(kPlacePrefix);
}

}  // namespace sycamoreford
