#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/endpoint_finding.h"

namespace sycamoreford {

/// Passes questions about endpoints, and what inspections have found, between
/// an `EndpointInspector` and other daemons.
///
/// Thread safety: none; used on the thread of the datagrams.
class InspectionExchange {
 public:
  using Addresses = std::vector<std::string>;
  using AskedHandler =
      std::function<void(const std::string& id, const std::string& from)>;
  using FindingHandler =
      std::function<void(const EndpointFinding&, const std::string& from)>;

  /// \param others returns the addresses of all daemons.
  /// Precondition: `datagrams` outlives this object.
  InspectionExchange(PeerDatagrams& datagrams,
                     std::function<Addresses()> others)
      : datagrams_(datagrams), others_(std::move(others)) {}

  /// Sets what is called when another daemon asks for an inspection of an
  /// endpoint, and when it tells of one.
  void SetHandlers(AskedHandler on_asked, FindingHandler on_finding) {
    on_asked_ = std::move(on_asked);
    on_finding_ = std::move(on_finding);
  }

  /// Connects an inspector, which must outlive this object.
  template <class Inspector>
  void Connect(Inspector& inspector) {
    SetHandlers(
        [&](const auto& id, const auto& from) { inspector.OnAsked(id, from); },
        [&](const auto& finding, const auto& from) {
          inspector.OnTold(finding, from);
        });
    inspector.SetAsker([this](const auto& to, const auto& id) { Ask(to, id); });
    inspector.SetTeller(
        [this](const auto& to, const auto& finding) { Tell(to, finding); });
  }

  /// Asks daemons to inspect an endpoint.
  void Ask(const Addresses& to, const std::string& id) {
    PeerMessage message;
    message.endpoint = id;
    datagrams_.Send(to, message);
  }

  /// Tells daemons of an inspection: these, or all if none is named.
  void Tell(const Addresses& to, const EndpointFinding& finding) {
    PeerMessage message;
    message.finding = finding;
    datagrams_.Send(to.empty() ? others_() : to, message);
  }

  /// A listed daemon asks for an inspection.
  void OnAsked(const std::string& id, const std::string& from) const {
    if (on_asked_) {
      on_asked_(id, from);
    }
  }

  /// A listed daemon tells of an inspection.
  void OnFinding(const EndpointFinding& finding,
                 const std::string& from) const {
    if (on_finding_) {
      on_finding_(finding, from);
    }
  }

 private:
  PeerDatagrams& datagrams_;
  std::function<Addresses()> others_;
  AskedHandler on_asked_;
  FindingHandler on_finding_;
};

}  // namespace sycamoreford
