#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Questions about endpoints between daemons that share inspections: those that
/// this daemon has asked, and those that it was asked.
///
/// Thread safety: none.
class InspectionAsks {
 public:
  /// Minimum time between two questions about an endpoint, so that the
  /// inspections of an endpoint are bounded however many requests it refuses.
  static constexpr std::chrono::milliseconds kAskInterval{250};
  /// Time within which a daemon that is well has inspected a dead endpoint.
  static constexpr std::chrono::milliseconds kReplyTime{250};

  /// Whether to ask about an endpoint now. If so, a reply is expected;
  /// otherwise `TakeDue` returns the endpoint when it may be asked about.
  [[nodiscard]] bool MayAsk(const std::string& endpoint, TimePoint now);

  /// An endpoint that was to be asked about too early, and may be asked about
  /// now. Each is returned once.
  [[nodiscard]] std::optional<std::string> TakeDue(TimePoint now);

  /// A daemon has told of an endpoint.
  void OnReply(const std::string& endpoint) { overdue_at_.erase(endpoint); }

  /// An endpoint that was asked about without a reply in time, so that this
  /// daemon has to inspect it itself. Each is returned once.
  [[nodiscard]] std::optional<std::string> TakeOverdue(TimePoint now);

  /// Another daemon asks about an endpoint.
  void OnAsked(const std::string& endpoint, const std::string& from);

  /// The daemons that wait for a word on an endpoint. Each is returned once.
  [[nodiscard]] std::vector<std::string> TakeAskers(
      const std::string& endpoint);

 private:
  static constexpr std::size_t kMaxEndpoints = 1'024;
  static constexpr std::size_t kMaxAskersPerEndpoint = 512;

  std::map<std::string, TimePoint> asked_at_;
  /// Endpoints that were to be asked about too early.
  std::set<std::string> wanted_;
  std::map<std::string, TimePoint> overdue_at_;
  std::map<std::string, std::set<std::string>> askers_;
};

}  // namespace sycamoreford
