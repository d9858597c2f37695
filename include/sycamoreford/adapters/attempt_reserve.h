#pragma once

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/wake_signal.h"

namespace sycamoreford {

/// Holds a silent attempt while another one goes on in its place, in case that
/// one fails. An attempt that breaks its silence meanwhile is abandoned, so
/// that its endpoint does not work in vain; so is one that is left on
/// destruction.
///
/// Thread safety: none.
template <class Attempt>
class AttemptReserve {
 public:
  explicit AttemptReserve(const boost::asio::any_io_executor& executor)
      : executor_(executor), ended_(executor) {}
  AttemptReserve(const AttemptReserve&) = delete;
  AttemptReserve& operator=(const AttemptReserve&) = delete;
  ~AttemptReserve() { Drop(); }

  /// Holds an attempt; one that was held before is abandoned.
  void Keep(std::shared_ptr<Attempt> attempt) {
    Drop();
    attempt_ = std::move(attempt);
    is_wanted_ = std::make_shared<bool>(false);
    task_ = std::make_unique<BackgroundTask<AttemptStep>>(
        executor_, WaitForEnd(attempt_, is_wanted_), AttemptStep::kLost,
        [this] { OnEnded(); });
  }

  /// Gives up the attempt, to go on with it.
  ///
  /// \returns null if there is none that is still silent.
  boost::asio::awaitable<std::shared_ptr<Attempt>> Take() {
    if (attempt_) {
      *is_wanted_ = true;
      attempt_->Interrupt();
    }
    while (attempt_ && !task_->result()) {
      co_await ended_.Wait(kMaxInterruptTime);
    }
    if (attempt_) {
      attempt_->ClearInterrupt();
    }
    task_.reset();
    co_return std::exchange(attempt_, nullptr);
  }

 private:
  /// Interval of the checks whether an interrupted attempt has ended its wait.
  static constexpr std::chrono::milliseconds kMaxInterruptTime{100};

  static boost::asio::awaitable<AttemptStep> WaitForEnd(
      std::shared_ptr<Attempt> attempt,
      std::shared_ptr<bool> is_wanted) {
    AttemptStep step = AttemptStep::kInterrupted;
    while (step == AttemptStep::kInterrupted && !*is_wanted) {
      step = co_await attempt->Next();
    }
    co_return step;
  }

  void OnEnded() {
    if (task_->result() != AttemptStep::kInterrupted) {
      attempt_->Abandon();
      attempt_.reset();
    }
    ended_.Notify();
  }

  void Drop() {
    task_.reset();
    if (attempt_) {
      attempt_->Abandon();
      attempt_.reset();
    }
  }

  boost::asio::any_io_executor executor_;
  WakeSignal ended_;
  std::shared_ptr<Attempt> attempt_;
  /// Whether the next interruption ends the wait.
  std::shared_ptr<bool> is_wanted_;
  std::unique_ptr<BackgroundTask<AttemptStep>> task_;
};

}  // namespace sycamoreford
