#pragma once

namespace sycamoreford {

/// Abandons an attempt on destruction, unless it is kept.
template <class Attempt>
class AbandonGuard {
 public:
  explicit AbandonGuard(Attempt& attempt) : attempt_(&attempt) {}
  AbandonGuard(const AbandonGuard&) = delete;
  AbandonGuard& operator=(const AbandonGuard&) = delete;
  ~AbandonGuard() {
    if (attempt_ != nullptr) {
      attempt_->Abandon();
    }
  }
  void Keep() noexcept { attempt_ = nullptr; }

 private:
  Attempt* attempt_;
};

}  // namespace sycamoreford
