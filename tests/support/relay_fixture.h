#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "endpoint_client.h"
#include "fakes/scripted_endpoint.h"
#include "http_relay_codec.h"
#include "support/raw_connection.h"
#include "support/sample_engine.h"
#include "sycamoreford/adapters/endpoint_inspector.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/relay_handler.h"
#include "sycamoreford/adapters/relay_state.h"

namespace sycamoreford::support {

/// A relay on the loopback interface with scripted endpoints: two of a plain
/// service, and two in different data centres that hold all layers of a model.
///
/// Thread safety: set up before `Start`; after it, use only through
/// connections.
class RelayFixture {
 public:
  RelayFixture() {
    AddPlain("p1", plain_1);
    AddPlain("p2", plain_2);
    AddModel("m1", "north", model_1);
    AddModel("m2", "south", model_2);
  }
  ~RelayFixture() {
    context.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  /// Puts the sample configuration in force and starts serving.
  ///
  /// \param change_route modifies each route before it is added.
  void Start(const std::function<void(RelayRoute&)>& change_route = {}) {
    Manifest::Builder builder(1);
    for (RelayRoute route : Routes()) {
      if (change_route) {
        change_route(route);
      }
      builder.AddRoute(route);
    }
    RelayService plain;
    plain.name = "plain";
    RelayService model;
    model.name = "model";
    model.engine = SampleEngine();
    model.engine->kinds["whole"] = {300'000, 1, 1};
    RelayCustomer customer;
    customer.name = "bells";
    customer.api_keys = {"key-1"};
    customer.priority = 2;
    state.Accept(builder.AddService(plain)
                     .AddService(model)
                     .AddCustomer(customer)
                     .Build());
    state.SetDaemons(1, 0);
    StartWithoutConfiguration();
  }

  void StartWithoutConfiguration() {
    thread_ = std::thread([this] { context.run(); });
  }

  /// Adds a third endpoint that holds all layers of the model, in a data centre
  /// of its own. Call before `Start`.
  void AddThirdModel() { AddModel("m3", "west", model_3); }

  /// Runs the inspector of stalled chains. Call before `Start`.
  void WatchChains() {
    boost::asio::co_spawn(context, inspector.Watch(), boost::asio::detached);
  }

  /// Removes an endpoint from the directory. Call before `Start`.
  void Remove(const std::string& id) {
    state.directory().Remove(id, clock.Now(), Duration::zero());
  }

  /// Changes the address in the record of an endpoint. Call before `Start`.
  void SetAddress(const std::string& id, const std::string& address) {
    EndpointRecord record = state.directory().Find(id)->record;
    record.address = address;
    state.directory().Upsert(record);
  }

  /// Sends a request and reads until the connection is closed.
  ///
  /// \returns all bytes received.
  std::string Fetch(const std::string& method,
                    const std::string& path,
                    const std::string& extra_headers = "Api-Key: key-1\r\n",
                    const std::string& body = "") const {
    RawConnection connection(server.address());
    connection.Send(Request(method, path, extra_headers, body));
    return connection.ReadAll();
  }

  [[nodiscard]] static std::string Request(const std::string& method,
                                           const std::string& path,
                                           const std::string& extra_headers,
                                           const std::string& body = "") {
    return method + " " + path +
           " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
           "X-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + extra_headers + "\r\n" + body;
  }

  SteadyClock clock;
  RelayState state{"north", RetryLimits{.ratio = 0.2, .extra = 100}};
  platform::EndpointClient control;
  // Destroyed before what the requests in flight use.
  boost::asio::io_context context{1};
  fakes::ScriptedEndpoint plain_1{context};
  fakes::ScriptedEndpoint plain_2{context};
  fakes::ScriptedEndpoint model_1{context};
  fakes::ScriptedEndpoint model_2{context};
  fakes::ScriptedEndpoint model_3{context};
  EndpointInspector<platform::EndpointClient, SteadyClock> inspector{
      state, control, clock};
  RelayHandler<platform::HttpRelayCodec, SteadyClock> handler{state, clock};
  HttpServer server{
      context, "127.0.0.1:0", HttpLimits{},
      [this](HttpExchange& exchange) { return handler.Handle(exchange); }};

 private:
  static std::vector<RelayRoute> Routes() {
    const auto make = [](const std::string& path, RetryPolicy retry_policy,
                         const std::string& service) {
      RelayRoute route;
      route.name = path;
      route.host = "a.example";
      route.path_prefix = "/" + path + "/";
      route.retry_policy = retry_policy;
      route.streams = path.find("stream") != std::string::npos;
      route.max_attempts = 2;
      route.services = {{service, 1}};
      return route;
    };
    return {make("safe", RetryPolicy::kIdempotent, "plain"),
            make("once", RetryPolicy::kAtMostOnce, "plain"),
            make("stream", RetryPolicy::kResumable, "model"),
            make("stream-once", RetryPolicy::kAtMostOnce, "model"),
            make("plain-stream", RetryPolicy::kResumable, "plain"),
            make("plain-stream-once", RetryPolicy::kAtMostOnce, "plain")};
  }

  void AddPlain(const std::string& id,
                const fakes::ScriptedEndpoint& endpoint) {
    EndpointRecord record;
    record.id = id;
    record.service = "plain";
    record.address = endpoint.address();
    record.data_centre = "north";
    state.directory().Upsert(record);
  }

  void AddModel(const std::string& id,
                const std::string& data_centre,
                fakes::ScriptedEndpoint& endpoint) {
    endpoint.report = R"({"Layers":{"From":0,"To":80}})";
    EndpointRecord record;
    record.id = id;
    record.service = "model";
    record.address = endpoint.address();
    record.data_centre = data_centre;
    record.kind = "whole";
    record.layers = {0, 80};
    state.directory().Upsert(record);
  }

  std::thread thread_;
};

}  // namespace sycamoreford::support
