#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>

namespace sycamoreford {

/// What memory is held for.
enum class HeldKind {
  /// Requests of callers.
  kRequest,
  /// Responses of endpoints.
  kResponse,
  /// What the daemon itself needs: the store, reports, orders, other daemons.
  kControl,
};
inline constexpr std::size_t kHeldKindCount = 3;

/// Bounds the memory that a process holds for bytes that others send.
///
/// Each kind has a share: requests may use half of the limit, requests and
/// responses together three quarters, so that a quarter is always left for what
/// the daemon needs itself. When a share is used up, the sender that holds most
/// of it loses its largest hold; the others go on.
///
/// \code
/// MemoryHold hold(budget, HeldKind::kResponse, "10.0.0.1:80", [&] { Abort();
/// }); if (!hold.Resize(body.capacity())) { /* stop reading, release the body
/// */ } \endcode
///
/// Thread safety: thread safe.
class MemoryBudget {
 public:
  /// Limit of a process that has none of its own: a quarter of the smallest VM
  /// that daemons run on.
  static constexpr std::size_t kDefaultLimit = 40UL * 1024 * 1024;

  explicit MemoryBudget(std::size_t limit) noexcept : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// The budget of this process.
  [[nodiscard]] static MemoryBudget& OfProcess();

  /// `kDefaultLimit`, or a quarter of the memory that the system grants this
  /// process if that is less.
  [[nodiscard]] static std::size_t DefaultLimit();

  /// \param limit maximum number of bytes held, of all kinds together.
  void SetLimit(std::size_t limit);

  [[nodiscard]] std::size_t limit() const;
  /// Bytes that are held at present.
  [[nodiscard]] std::size_t held(HeldKind kind) const;
  /// Holds that were lost or refused for want of room.
  [[nodiscard]] std::uint64_t refused(HeldKind kind) const;

 private:
  friend class MemoryHold;

  struct Entry {
    HeldKind kind;
    std::string sender;
    std::function<void()> on_lost;
    std::size_t bytes = 0;
    bool is_lost = false;
  };
  using Entries = std::list<Entry>;

  [[nodiscard]] Entries::iterator Add(HeldKind kind,
                                      std::string sender,
                                      std::function<void()> on_lost);
  void Remove(Entries::iterator entry);
  [[nodiscard]] bool Resize(Entries::iterator entry, std::size_t bytes);
  [[nodiscard]] bool IsLost(Entries::iterator entry) const;

  /// Whether more is held than `kind` may use. Requires the mutex.
  [[nodiscard]] bool Exceeds(HeldKind kind) const;
  /// The largest hold of this kind that can be lost, of the sender that holds
  /// most. Requires the mutex.
  [[nodiscard]] Entries::iterator FindLargest(HeldKind kind);
  void Lose(Entry& entry);

  mutable std::mutex mutex_;
  std::size_t limit_;
  Entries entries_;
  std::array<std::size_t, kHeldKindCount> held_{};
  std::array<std::uint64_t, kHeldKindCount> refused_{};
};

}  // namespace sycamoreford
