#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "sycamoreford/core/memory_budget.h"

namespace sycamoreford {

/// Part of a `MemoryBudget` that is used until the object is destroyed.
///
/// Thread safety: none; the budget may call `on_lost` on any thread.
class MemoryHold {
 public:
  /// \param sender whose bytes are held, such as the address of an endpoint.
  /// \param on_lost called at most once, when the hold is lost to another one:
  ///     the memory must be released soon. Must not use the budget. Without it,
  ///     the hold is never lost nor refused: the bytes are complete.
  /// Precondition: `budget` outlives this object.
  MemoryHold(MemoryBudget& budget,
             HeldKind kind,
             std::string sender,
             std::function<void()> on_lost = {})
      : budget_(budget),
        entry_(budget.Add(kind, std::move(sender), std::move(on_lost))) {}
  ~MemoryHold() { budget_.Remove(entry_); }
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  /// Changes how much is held.
  ///
  /// \param bytes number of bytes held from now on.
  /// \returns false if there is no room for more, or the hold was lost: nothing
  ///     more may be read, and what was read must be released.
  [[nodiscard]] bool Resize(std::size_t bytes) {
    return budget_.Resize(entry_, bytes);
  }

  /// Whether it was lost to another hold.
  [[nodiscard]] bool is_lost() const { return budget_.IsLost(entry_); }

 private:
  MemoryBudget& budget_;
  MemoryBudget::Entries::iterator entry_;
};

}  // namespace sycamoreford
