#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fakes/cuttable_link.h"
#include "fakes/scripted_endpoint.h"
#include "support/event_stream.h"

namespace sycamoreford::fakes {

/// An endpoint that turns away all requests, reports included, with 503 and a
/// Retry-After while it is overloaded, and counts what each daemon sends
/// nonetheless. Each daemon has a link and an address of its own to it.
///
/// Thread safety: none; used on the thread that runs the context.
class OverloadedEndpoint {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// Time after a response in which requests may still be on their way.
  static constexpr std::chrono::milliseconds kGrace{500};
  static constexpr int kEvents = 4;
  static constexpr std::chrono::milliseconds kEventInterval{40};

  /// \param daemons number of daemons, which are numbered from 0.
  OverloadedEndpoint(boost::asio::io_context& context, std::size_t daemons) {
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      doors_.push_back(std::make_unique<Door>(context));
      Door& door = *doors_.back();
      door.endpoint.SetReportResponder([this, &door] {
        return Respond(door, R"({"born":)" + std::to_string(started_at_ms) +
                                 R"(,"Layers":{"From":0,"To":80}})");
      });
      door.endpoint.SetResponder([this, &door](const HttpRequest& request) {
        return Respond(door, request);
      });
    }
  }

  std::uint64_t started_at_ms = 1;
  bool is_overloaded = false;
  /// Value of Retry-After, and the time that it means.
  std::string retry_after = "2";
  std::chrono::milliseconds pause{2'000};
  /// Whether rejections carry the mark of a request that has not run.
  bool marks_not_run = true;
  /// Whether the body of a rejection never ends.
  bool rejects_without_end = false;
  /// Further header lines of all responses.
  std::string extra_headers;
  /// Whether it crashes in the middle of each stream.
  bool breaks_streams = false;
  std::chrono::milliseconds response_time{10};

  [[nodiscard]] std::string address(std::size_t daemon) const {
    return doors_[daemon]->link.address();
  }
  void SetLink(std::size_t daemon, LinkState state) {
    doors_[daemon]->link.Set(state);
  }

  /// Number of requests and reports that have arrived since `time`.
  [[nodiscard]] std::size_t ArrivalsSince(Time time) const {
    std::size_t count = 0;
    for (const auto& door : doors_) {
      count += CountBetween(*door, time, Time::max());
    }
    return count;
  }

  /// The most that a daemon has sent during one of the pauses that it was asked
  /// for, apart from the grace.
  [[nodiscard]] std::size_t MaxArrivalsInPause() const {
    std::size_t most = 0;
    for (const auto& door : doors_) {
      for (const Time asked : door->asked_at) {
        most =
            std::max(most, CountBetween(*door, asked + kGrace, asked + pause));
      }
    }
    return most;
  }

  /// Number of daemons that were asked for a pause.
  [[nodiscard]] std::size_t AskedDaemons() const {
    return static_cast<std::size_t>(std::count_if(
        doors_.begin(), doors_.end(),
        [](const auto& door) { return !door->asked_at.empty(); }));
  }

 private:
  /// What one daemon reaches.
  struct Door {
    explicit Door(boost::asio::io_context& context)
        : endpoint(context), link(context, endpoint.address()) {}
    ScriptedEndpoint endpoint;
    CuttableLink link;
    std::vector<Time> arrivals;
    std::vector<Time> asked_at;
  };

  static std::size_t CountBetween(const Door& door, Time from, Time to) {
    return static_cast<std::size_t>(
        std::count_if(door.arrivals.begin(), door.arrivals.end(),
                      [&](Time it) { return it > from && it < to; }));
  }

  /// Notes an arrival.
  ///
  /// \returns whether it is turned away.
  bool Note(Door& door) const {
    const Time now = std::chrono::steady_clock::now();
    door.arrivals.push_back(now);
    if (is_overloaded) {
      door.asked_at.push_back(now);
    }
    return is_overloaded;
  }

  [[nodiscard]] EndpointScript Rejection(const std::string& id) const {
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\n" + id +
                             extra_headers +
                             (marks_not_run ? "X-Not-Executed: 1\r\n" : "") +
                             "Retry-After: " + retry_after + "\r\n";
    if (rejects_without_end) {
      return {Send(head + "Transfer-Encoding: chunked\r\n\r\n"),
              SendForever("1\r\nx\r\n", std::chrono::milliseconds(20))};
    }
    return {Send(head + "Content-Length: 0\r\n\r\n"), Close()};
  }

  EndpointScript Respond(Door& door, const std::string& report) const {
    if (Note(door)) {
      return Rejection("");
    }
    return {Send("HTTP/1.1 200 OK\r\n" + extra_headers + "Content-Length: " +
                 std::to_string(report.size()) + "\r\n\r\n" + report),
            Close()};
  }

  EndpointScript Respond(Door& door, const HttpRequest& request) const {
    const std::string id =
        "X-Attempt-Id: " + std::string(request.fields.Get("X-Attempt-Id")) +
        "\r\n";
    if (Note(door)) {
      return Rejection(id);
    }
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + id + extra_headers + "X-Response-Seal: s\r\n";
    if (!request.target.starts_with("/stream")) {
      return {Wait(response_time), Send(head + "Content-Length: 4\r\n\r\nbody"),
              Close()};
    }
    EndpointScript script = {Send(head + "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n")};
    const std::string last(request.fields.Get("Last-Event-Id"));
    for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < kEvents; ++id) {
      script.push_back(Send(support::Part(support::Event(id))));
      script.push_back(Wait(kEventInterval));
      if (breaks_streams && id > 0) {
        script.push_back(Reset());
        return script;
      }
    }
    script.push_back(Send(support::BodyEnd()));
    script.push_back(Close());
    return script;
  }

  std::vector<std::unique_ptr<Door>> doors_;
};

}  // namespace sycamoreford::fakes
