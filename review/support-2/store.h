// A stand-in for the platform's store, with the calls that the relay makes.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  [[nodiscard]] const std::string& address() const { return server_.address(); }

  /// Writes a row as the operator or a replica does; false while it is away.
  bool Write(const std::string& table,
             const std::string& key,
             const std::string& value);
  bool Erase(const std::string& table, const std::string& key);
  /// The value of a row; empty if there is none.
  std::string Read(const std::string& table, const std::string& key);
  std::uint64_t version();
  bool is_away();

  /// Keeps a copy of all rows.
  void TakeCopy();
  /// Resets all connections and refuses all calls.
  void GoAway();
  /// Comes back with the copy, in a new era. `first_writes` happen before any
  /// other call.
  void ComeBackFromCopy(
      const std::vector<std::pair<std::string, std::string>>& first_writes);

 private:
  struct Change {
    std::uint64_t version = 0;
    std::string table;
    std::string key;
    std::string value;
    bool is_deleted = false;
  };
  struct Content {
    std::map<std::pair<std::string, std::string>, Change> rows;
    std::vector<Change> history;
    std::uint64_t version = 100;
  };

  void Handle(Channel& channel);
  std::string Respond(const Message& request, const Channel& channel);
  std::string Get(const Message& request);
  std::string Feed(const Message& request, const Channel& channel);
  std::string Transact(const Message& request);
  void Apply(const std::string& table,
             const std::string& key,
             const std::string& value,
             bool is_deleted);
  [[nodiscard]] std::string Body(const std::vector<Change>& rows,
                                 bool has_more) const;
  [[nodiscard]] std::string Answer(unsigned status,
                                   const std::string& body) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  Content content_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool is_away_ = false;
  Server server_;
};

std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

}  // namespace review
