// A small deployment with a stream route that is split over a service of a
// model and one without an engine, as in the manifest that `fleetbench wire`
// prints, and callers of that route.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "engine_replica.h"
#include "plain_replica.h"
#include "run.h"
#include "store.h"

namespace review {

/// Events of each stream.
inline constexpr int kEvents = 30;
/// Pause before each event.
inline constexpr int kPauseMs = 40;

/// The event that a replica sends next; empty at the end of the stream.
std::string NextEvent(const Message& request, int id);

/// A caller and the ids of the events that it has received, in order.
class StreamCaller {
 public:
  StreamCaller(Record& record, int number);

  /// Asks for the stream, or for what follows the last event that it has.
  ///
  /// \returns whether the answer looks complete.
  bool Ask(const std::string& address);

  /// Whether a piece is missing, comes twice or is out of order, apart from
  /// those after the last one.
  [[nodiscard]] bool IsOutOfOrder() const;
  [[nodiscard]] bool HasAll() const;

 private:
  bool ReadEvents(Channel& channel, const std::string& length);
  bool ReadChunkedEvents(Channel& channel);
  void TakeEvents(std::string& text);

  Record& record_;
  std::string target_;
  std::vector<int> events_;
};

class Streaming {
 public:
  Streaming(std::string root, std::string folder, const std::string& record);

  /// Starts the replicas and two daemons; false if a daemon does not get ready.
  ///
  /// \param handler handles the requests of the service without an engine.
  bool Start(const std::function<bool(PlainReplica&, const Message&, Channel&)>&
                 handler);

  Record record;
  Store store;
  std::vector<std::unique_ptr<EngineReplica>> models;
  std::vector<std::unique_ptr<PlainReplica>> apps;
  std::vector<std::unique_ptr<Daemon>> daemons;

 private:
  std::string root_;
  std::string folder_;
};

}  // namespace review
