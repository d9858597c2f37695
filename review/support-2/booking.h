// A small deployment with two services without an engine, and the versions of
// its manifest.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "plain_replica.h"
#include "run.h"
#include "store.h"

namespace review {

inline constexpr const char* kKeptKey = "n2ctnfzs989anu6wsjnb";
inline constexpr const char* kLostKey = "anfqasnmgkcuyj8pjbvk";

/// The route `booked` is in all versions, `added` from version 20 on. The route
/// `moved` goes to the service `old-app` up to version 20, then to `new-app`.
/// The key `kLostKey` is in force up to version 20.
std::string BookingManifest(int version);

class Booking {
 public:
  Booking(std::string root, std::string folder, const std::string& record);

  /// Starts the replicas and daemons; false if a daemon does not get ready.
  bool Start(int daemons);
  void Put(int version);
  Message Send(const Daemon& daemon,
               const std::string& route,
               const std::string& key);
  /// Whether all daemons serve a request with this route and key.
  bool IsServed(const std::string& route, const std::string& key);
  /// Sends one round of requests to all daemons, and counts those that every
  /// version allows and are served, and those that are handled as only a
  /// version before 30 allows.
  void Round();

  Record record;
  Store store;
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  std::vector<std::unique_ptr<Daemon>> daemons;
  int served = 0;
  int by_older = 0;

 private:
  std::string root_;
  std::string folder_;
};

}  // namespace review
