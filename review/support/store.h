#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "net.h"

namespace review {

/// The platform's store: `rows-tx`, `rows-get` and `rows-feed` as PROTOCOL.md
/// describes them, each within 4 ms. All answers carry `Store-Era`.
///
/// Thread safety: all methods may be called from any thread.
class Store {
 public:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool is_deleted = false;
  };
  /// What the store holds at a moment.
  struct Copy {
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::uint64_t newest = 0;
  };

  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  [[nodiscard]] const std::string& address() const { return server_.address(); }

  /// Writes a row for the operator or a replica.
  ///
  /// \returns its version; 0 if the store is away.
  std::uint64_t Write(const std::string& table,
                      const std::string& key,
                      const std::string& value);
  /// Drops a row for a replica; has no effect if the store is away.
  void Drop(const std::string& table, const std::string& key);

  [[nodiscard]] std::uint64_t newest();
  [[nodiscard]] Copy TakeCopy();

  /// Refuses connections and resets those that are open.
  void GoAway();
  /// Gives no response any more. Connections are accepted and stay open, those
  /// of calls that have no response yet for good.
  void FallSilent();
  /// Comes back from a copy, with the next era.
  void ComeBack(const Copy& copy);

  /// Writes again what the operator and the replicas had written and the copy
  /// does not have.
  ///
  /// \returns the number of rows.
  int WriteAgain(const Copy& lost, const Copy& copy);

 private:
  bool Answer(Connection& connection, const Message& request);
  std::string RunTransaction(const std::string& body, int& status);
  std::string Get(const std::map<std::string, std::string>& query);
  std::string Feed(const std::map<std::string, std::string>& query,
                   int silences,
                   int& status);
  std::string Listing(const std::string& table,
                      std::uint64_t after,
                      const std::string& from,
                      const std::string& to,
                      bool marks_deleted,
                      int& count);

  std::mutex mutex_;
  std::condition_variable changed_;
  Copy state_;
  std::uint64_t era_ = 1;
  bool is_away_ = false;
  bool is_silent_ = false;
  /// Number of times that the store fell silent.
  int silences_ = 0;
  Clock::time_point started_at_ = Clock::now();
  Server server_;
};

}  // namespace review
