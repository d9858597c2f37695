#include "sycamoreford/relay/shared_rate_limit.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// The end of a limit shows only in a response, so some requests are sent even
/// if the limit is 0.
constexpr double kMinPerSecond = 0.2;
/// Bounds how long requests in excess of the limit keep later ones back.
constexpr double kMaxDebt = 20;

}  // namespace

SharedRateLimit::SharedRateLimit(double per_second, TimePoint now)
    : per_second_(std::max(per_second, kMinPerSecond)), filled_at_(now) {}

void SharedRateLimit::SetRate(double per_second, TimePoint now) {
  Refill(now);
  per_second_ = std::max(per_second, kMinPerSecond);
}

void SharedRateLimit::SetDaemons(std::uint32_t daemons,
                                 std::uint32_t ttl_factor) {
  daemons_ = daemons;
  ttl_factor_ = ttl_factor;
}

double SharedRateLimit::OwnRate() const noexcept {
  const auto known = static_cast<double>(1 + peers_.size());
  return per_second_ * std::min(1.0, known / static_cast<double>(daemons_));
}

void SharedRateLimit::Refill(TimePoint now) {
  const std::chrono::duration<double> time = now - filled_at_;
  filled_at_ = now;
  tokens_ = std::min(kBurst, tokens_ + OwnRate() * time.count());
  std::erase_if(peers_, [&](const auto& it) {
    return now - it.second.heard_at > kPeerTtl * ttl_factor_;
  });
}

bool SharedRateLimit::MaySend(TimePoint now) {
  Refill(now);
  return tokens_ >= 1;
}

bool SharedRateLimit::MayOverdraw(TimePoint now) {
  Refill(now);
  return tokens_ >= 1 - kOverdraft;
}

Duration SharedRateLimit::TimeUntilAvailable(TimePoint now) {
  Refill(now);
  const std::chrono::duration<double> time((1 - tokens_) / OwnRate());
  return std::max(std::chrono::duration_cast<Duration>(time), Duration::zero());
}

void SharedRateLimit::OnSent(TimePoint now) {
  Refill(now);
  ++sends_;
  tokens_ = std::max(tokens_ - 1, -kMaxDebt);
}

void SharedRateLimit::OnPeerSends(const std::string& daemon,
                                  std::uint64_t sends,
                                  TimePoint now) {
  Refill(now);
  const auto [entry, is_new] = peers_.try_emplace(daemon);
  Peer& peer = entry->second;
  // What a daemon sent before it was heard of came from the part of the rate
  // that was left to it. After a restart it counts from 0 again.
  const std::uint64_t before = is_new ? sends : peer.sends;
  const std::uint64_t news = sends >= before ? sends - before : sends;
  tokens_ = std::max(tokens_ - static_cast<double>(news), -kMaxDebt);
  peer = {.sends = sends, .heard_at = now};
}

}  // namespace sycamoreford
