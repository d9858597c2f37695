#pragma once

namespace sycamoreford {

/// What came next of an attempt to have a request served.
enum class AttemptStep {
  /// The head of a trusted stream has arrived.
  kStreamBegun,
  /// Complete events of the stream have arrived.
  kEvents,
  /// The stream has ended after a complete event.
  kStreamEnded,
  /// A response has arrived that is not a trusted stream; of an attempt at a
  /// chain, its head.
  kResponse,
  /// The endpoint reported that it did not run the request.
  kNotRun,
  /// No connection was established, so nothing was sent.
  kNotSent,
  /// Nothing was sent, since the endpoint asked for a pause, or said that it
  /// leaves, or the caller left, before the connection was established.
  kWithheld,
  /// The response was lost; the request may have run.
  kLost,
  /// The wait was interrupted, for example because a stage of the chain is
  /// suspected to be silent; the attempt goes on.
  kInterrupted,
};

}  // namespace sycamoreford
