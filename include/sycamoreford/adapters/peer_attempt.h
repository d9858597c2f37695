#pragma once

#include <chrono>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>

#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/stream_attempt.h"

namespace sycamoreford {

/// A send of a request through another daemon, which forwards it to a chain.
/// That daemon does not move the request to another endpoint, so silence
/// interrupts it here. Silence ends the attempt only if it lasts and that
/// daemon is not heard of.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class PeerAttempt final : public StreamAttempt<Codec, TheClock> {
  using Base = StreamAttempt<Codec, TheClock>;

 public:
  /// Precondition: `state` and `clock` outlive this object, or it is abandoned
  /// before they are destroyed.
  ///
  /// \param options `address` is that of the other daemon.
  /// \param silence time without any part of the response after which further
  ///     daemons are tried.
  /// \param max_silence silence after which the attempt ends if the other
  ///     daemon is not heard of.
  PeerAttempt(RelayState& state,
              const TheClock& clock,
              const boost::asio::any_io_executor& executor,
              StreamAttemptOptions options,
              std::chrono::milliseconds silence,
              std::chrono::milliseconds max_silence)
      : Base(clock, executor, options),
        state_(state),
        address_(std::move(options.address)),
        silence_(silence),
        max_silence_(max_silence) {
    registration_ = state_.AddAttempt({.request_id = Base::request_id(),
                                       .peer = address_,
                                       .call = &Base::call()});
    state_.peers().OnSent(address_);
  }
  ~PeerAttempt() override { Leave(); }

  void SuspendLoad() override {}
  void ResumeLoad() override {}

  void OnFailed(AttemptStep /*step*/) override {}

  [[nodiscard]] const std::string& destination() const noexcept override {
    return address_;
  }
  [[nodiscard]] bool is_forwarded() const noexcept override { return true; }

 private:
  void OnHeadDecoded() override {
    state_.leaving().OnHead(Base::head(), address_, Base::request_id(),
                            LeavingSource::kForwardedResponse);
  }
  void OnSent() override { SetNextInterrupt(Base::clock().Now()); }
  void OnProgress(TimePoint now) override { SetNextInterrupt(now); }
  void SetNextInterrupt(TimePoint now) {
    if (registration_) {
      (*registration_)->next_interrupt_at = now + silence_;
    }
  }
  [[nodiscard]] bool HasDied(TimePoint now) const override {
    return Base::Silence(now) >= max_silence_ &&
           !state_.peers().IsHeard(address_, now);
  }
  void Leave() noexcept override {
    if (registration_) {
      state_.peers().OnEnded(address_);
      state_.RemoveAttempt(*registration_);
      registration_.reset();
    }
  }
  [[nodiscard]] bool is_in_flight() const noexcept override {
    return registration_.has_value();
  }

  RelayState& state_;
  std::string address_;
  std::chrono::milliseconds silence_;
  std::chrono::milliseconds max_silence_;
  /// Empty when the attempt no longer counts as in flight.
  std::optional<std::list<ActiveAttempt>::iterator> registration_;
};

}  // namespace sycamoreford
