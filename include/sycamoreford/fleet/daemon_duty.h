#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoreford {

/// Decides which daemons do a task for all of them.
///
/// Each task goes to the `kDaemonsPerTask` daemons with the highest random
/// weights for it (Thaler and Ravishankar, "Using name-based mappings to
/// increase hit rates", 1998). Every daemon works that out from the roster that
/// it has, so that nothing has to be agreed: two daemons with different rosters
/// may both do a task, or ask a daemon that does not. When a daemon comes or
/// goes, only its own tasks move.
///
/// With few daemons each of them does every task.
///
/// Thread safety: none.
class DaemonDuty {
 public:
  /// More than one, so that the loss of a daemon delays nothing, and so that
  /// two must agree before the others believe them.
  static constexpr std::size_t kDaemonsPerTask = 3;
  /// From this number of daemons on, tasks are shared.
  static constexpr std::size_t kManyDaemons = 20;

  /// \param daemons addresses of all live daemons.
  /// \param own address of this daemon.
  void SetDaemons(std::vector<std::string> daemons, std::string own);

  /// Whether tasks are shared at all.
  [[nodiscard]] bool IsShared() const noexcept {
    return daemons_.size() >= kManyDaemons;
  }

  /// Whether this daemon does the task: always unless tasks are shared.
  [[nodiscard]] bool IsOwn(std::string_view task) const;

  /// Place of this daemon among those that would do the task if it were shared,
  /// from 0; `kDaemonsPerTask` if it is none of them.
  [[nodiscard]] std::size_t RankOf(std::string_view task) const;

  /// The daemons to which this one passes on what the daemons that do a task
  /// have learnt: a tree of which those are the roots. None unless tasks are
  /// shared.
  [[nodiscard]] std::vector<std::string> Children(std::string_view task) const;

  /// Whether another daemon passes on to this one.
  [[nodiscard]] bool IsParent(std::string_view task,
                              const std::string& daemon) const;

  /// The daemons that do the task, the first choice first, without this one.
  /// None unless tasks are shared.
  [[nodiscard]] std::vector<std::string> Others(std::string_view task) const;

 private:
  /// Daemons to which each one passes on.
  static constexpr std::size_t kFanOut = 3;

  /// Tasks whose daemons are remembered.
  static constexpr std::size_t kMaxRemembered = 4'096;

  /// All daemons, ordered by their weight for a task.
  [[nodiscard]] std::vector<std::string> Order(std::string_view task) const;

  /// The daemons that do a shared task.
  [[nodiscard]] const std::vector<std::string>& Choose(
      std::string_view task) const;

  std::vector<std::string> daemons_;
  std::string own_;
  /// The daemons of tasks that were asked for since the roster changed.
  mutable std::map<std::string, std::vector<std::string>, std::less<>> chosen_;
};

}  // namespace sycamoreford
