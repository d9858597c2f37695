#include "sycamoreford/adapters/operator_server.h"

#include <algorithm>
#include <atomic>
#include <system_error>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include "impl/rollback_edits.h"
#include "sycamoreford/adapters/metrics_message.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/v1/operator.grpc.pb.h"

namespace sycamoreford {
namespace {

constexpr int kMaxThreads = 16;
constexpr std::uint32_t kMaxHistoryChanges = 100;
constexpr int kMaxEdits = 1'000;
constexpr std::size_t kMaxNoteBytes = 4'096;
constexpr std::chrono::milliseconds kWatchPollInterval{500};

grpc::StatusCode StatusCodeOf(Errc code) {
  switch (code) {
    case Errc::kUnauthorized:
      return grpc::StatusCode::UNAUTHENTICATED;
    case Errc::kNotFound:
      return grpc::StatusCode::NOT_FOUND;
    case Errc::kAlreadyExists:
      return grpc::StatusCode::ALREADY_EXISTS;
    case Errc::kConflict:
      return grpc::StatusCode::ABORTED;
    case Errc::kInvalidChange:
    case Errc::kMalformed:
    case Errc::kTooLarge:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case Errc::kTableUnavailable:
    case Errc::kConfigUnconfirmed:
    case Errc::kDraining:
      return grpc::StatusCode::UNAVAILABLE;
    default:
      return grpc::StatusCode::UNKNOWN;
  }
}

bool IsKind(v1::Kind kind) {
  return v1::Kind_IsValid(kind) && kind != v1::KIND_UNSPECIFIED;
}

/// Validates what the protobuf schema does not enforce.
std::optional<Failure> CheckEdits(const v1::ApplyRequest& request) {
  if (request.edits_size() > kMaxEdits) {
    return Failure{.code = Errc::kTooLarge, .where = "edits"};
  }
  if (request.note().size() > kMaxNoteBytes) {
    return Failure{.code = Errc::kTooLarge, .where = "note"};
  }
  for (int i = 0; i < request.edits_size(); ++i) {
    const std::string where = "edits[" + std::to_string(i) + "]";
    if (!IsKind(request.edits(i).kind())) {
      return Failure{.code = Errc::kInvalidChange, .where = where + ".kind"};
    }
    if (request.edits(i).resource().name().empty()) {
      return Failure{.code = Errc::kInvalidChange,
                     .where = where + ".resource.name"};
    }
  }
  return std::nullopt;
}

class Service final : public v1::Operator::Service {
 public:
  Service(EntryState& state, ConfigService& config_service)
      : state_(state), config_service_(config_service) {}

  void Close() { closing_ = true; }

  grpc::Status Get(grpc::ServerContext* context,
                   const v1::GetRequest* request,
                   v1::GetReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    if (!IsKind(request->kind())) {
      return ToStatus({.code = Errc::kMalformed, .where = "kind"});
    }
    if (request->name().empty()) {
      return ToStatus({.code = Errc::kMalformed, .where = "name"});
    }
    const ConfigurationPtr config = state_.config.current();
    reply->set_revision(config->revision().value());
    const v1::Resource* found = config->Find(request->kind(), request->name());
    if (found == nullptr) {
      return ToStatus({.code = Errc::kNotFound, .where = "name"});
    }
    *reply->mutable_resource() = *found;
    return grpc::Status::OK;
  }

  grpc::Status List(grpc::ServerContext* context,
                    const v1::ListRequest* request,
                    v1::ListReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    if (!IsKind(request->kind()) && request->kind() != v1::KIND_UNSPECIFIED) {
      return ToStatus({.code = Errc::kMalformed, .where = "kind"});
    }
    const ConfigurationPtr config = state_.config.current();
    reply->set_revision(config->revision().value());
    for (const v1::Resource* resource : config->List(request->kind())) {
      *reply->add_resources() = *resource;
    }
    return grpc::Status::OK;
  }

  grpc::Status Apply(grpc::ServerContext* context,
                     const v1::ApplyRequest* request,
                     v1::ApplyReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    if (auto failure = CheckEdits(*request)) {
      return ToStatus(*failure);
    }
    ChangeRequest change;
    change.edits = {request->edits().begin(), request->edits().end()};
    change.expected_revision = Revision(request->expected_revision());
    change.dry_run = request->dry_run();
    return ApplyChange(change, *author, request->note(), reply);
  }

  grpc::Status History(grpc::ServerContext* context,
                       const v1::HistoryRequest* request,
                       v1::HistoryReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    const std::uint32_t limit =
        request->limit() == 0 ? kMaxHistoryChanges
                              : std::min(request->limit(), kMaxHistoryChanges);
    auto changes = config_service_.History(Revision(request->before()), limit);
    if (!changes) {
      return ToStatus(changes.error());
    }
    for (v1::Change& change : *changes) {
      *reply->add_changes() = std::move(change);
    }
    return grpc::Status::OK;
  }

  grpc::Status Rollback(grpc::ServerContext* context,
                        const v1::RollbackRequest* request,
                        v1::ApplyReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    const ConfigurationPtr current = state_.config.current();
    std::vector<v1::Change> changes;
    for (Revision before(request->to_revision() + 1);;) {
      auto page = config_service_.History(before, kMaxHistoryChanges);
      if (!page) {
        return ToStatus(page.error());
      }
      changes.insert(changes.end(), page->begin(), page->end());
      if (page->empty() || page->back().revision() == 1) {
        break;
      }
      before = Revision(page->back().revision());
    }
    auto edits = impl::RollbackEdits(*current, Revision(request->to_revision()),
                                     changes);
    if (!edits) {
      return ToStatus(edits.error());
    }
    ChangeRequest change;
    change.edits = std::move(*edits);
    change.expected_revision = request->expected_revision() == 0
                                   ? current->revision()
                                   : Revision(request->expected_revision());
    change.dry_run = request->dry_run();
    return ApplyChange(change, *author, request->note(), reply);
  }

  grpc::Status Watch(grpc::ServerContext* context,
                     const v1::WatchRequest* request,
                     grpc::ServerWriter<v1::WatchEvent>* writer) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    Revision after(request->after_revision());
    while (!context->IsCancelled() && !closing_) {
      for (const v1::Change& change :
           state_.config.WaitForChanges(after, kWatchPollInterval)) {
        v1::WatchEvent event;
        event.set_revision(change.revision());
        *event.mutable_change() = change;
        if (!writer->Write(event)) {
          return grpc::Status::OK;
        }
        after = Revision(change.revision());
      }
      const Revision newest = state_.config.current()->revision();
      if (newest > after) {
        // The changes in between are no longer kept; send only the revision.
        v1::WatchEvent event;
        event.set_revision(newest.value());
        writer->Write(event);
        after = newest;
      }
    }
    return grpc::Status::OK;
  }

  grpc::Status Metrics(grpc::ServerContext* context,
                       const v1::MetricsRequest* /*request*/,
                       v1::MetricsReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    *reply = ToMessage(state_.metrics.Snapshot());
    reply->set_daemon(state_.settings.name);
    return grpc::Status::OK;
  }

  grpc::Status State(grpc::ServerContext* context,
                     const v1::StateRequest* /*request*/,
                     v1::StateReply* reply) override {
    auto author = Authenticate(*context);
    if (!author) {
      return ToStatus(author.error());
    }
    const ConfigurationPtr config = state_.config.current();
    const TimePoint now = state_.clock.Now();
    const EndpointTable::View loads = state_.endpoints.Snapshot(now);
    reply->set_revision(config->revision().value());
    reply->set_daemon(state_.settings.name);
    reply->set_config_confirmed(state_.permit.IsValidAt(now));
    if (const auto confirmed = state_.config.confirmed_at()) {
      reply->set_config_age_ms(
          std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                *confirmed)
              .count());
    }
    const DrainState drain_state = state_.drain_state;
    reply->set_drain_state(std::string(ToString(drain_state)));
    if (drain_state != DrainState::kServing) {
      reply->set_drain_bound_ms(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              state_.drain_deadline.load() - now)
              .count());
    }
    for (const v1::Resource* pool : config->List(v1::KIND_POOL)) {
      for (const v1::Endpoint& endpoint : pool->pool().endpoints()) {
        const EndpointLoad load = loads.LoadOf(EndpointId(endpoint.name()));
        v1::EndpointState* out = reply->add_endpoints();
        out->set_pool(pool->name());
        out->set_name(endpoint.name());
        out->set_address(endpoint.address());
        out->set_in_flight(load.in_flight);
        out->set_leaving(load.is_leaving || endpoint.leaving());
        out->set_suspected(load.is_suspected);
        out->set_tokens_per_second(endpoint.tokens_per_second());
      }
    }
    for (const LeaseView& view : state_.leases.Get()) {
      v1::LeaseState* lease = reply->add_leases();
      lease->set_name(view.name);
      lease->set_holder(view.holder);
      lease->set_fencing(view.fencing.value());
      lease->set_remaining_ms(view.remaining.count());
    }
    v1::DaemonState* self = reply->add_daemons();
    self->set_name(state_.settings.name);
    self->set_data_center(state_.settings.data_centre);
    self->set_region(state_.settings.region);
    self->set_peer_address(config_service_.peer_address());
    self->set_revision(config->revision().value());
    self->set_draining(state_.draining);
    self->set_alive(true);
    AddMembers(now, *reply);
    return grpc::Status::OK;
  }

 private:
  /// Adds the other daemons, by membership, and the counts of daemons.
  void AddMembers(TimePoint now, v1::StateReply& reply) {
    for (const MemberState& member : config_service_.Members()) {
      v1::DaemonState* out = reply.add_daemons();
      out->set_name(member.info.name);
      out->set_data_center(member.info.data_centre);
      out->set_region(member.info.region);
      out->set_peer_address(member.info.address);
      out->set_revision(member.status.revision.value());
      out->set_draining(member.status.draining);
      out->set_alive(member.is_alive);
      if (member.reported_at) {
        out->set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - *member.reported_at)
                            .count());
      }
    }
    for (const v1::DaemonState& daemon : reply.daemons()) {
      reply.set_daemons_alive(reply.daemons_alive() + (daemon.alive() ? 1 : 0));
      const bool is_up_to_date = daemon.revision() >= reply.revision();
      reply.set_daemons_in_force(reply.daemons_in_force() +
                                 (daemon.alive() && is_up_to_date ? 1 : 0));
    }
  }

  /// Returns the name of the operator with this bearer token.
  Result<std::string> Authenticate(const grpc::ServerContext& context) const {
    constexpr std::string_view kBearer = "Bearer ";
    const auto found = context.client_metadata().find("authorization");
    if (found != context.client_metadata().end()) {
      const std::string value(found->second.data(), found->second.size());
      if (value.starts_with(kBearer)) {
        const std::string token = value.substr(kBearer.size());
        for (const OperatorCredential& credential : state_.settings.operators) {
          if (HashSecret(credential.token_salt, token) ==
              credential.token_sha256) {
            return credential.name;
          }
        }
      }
    }
    return Failure{.code = Errc::kUnauthorized, .where = "authorization"};
  }

  grpc::Status ApplyChange(const ChangeRequest& request,
                           const std::string& author,
                           const std::string& note,
                           v1::ApplyReply* reply) {
    auto change = config_service_.Apply(
        request, {.author = author,
                  .time = std::chrono::system_clock::now(),
                  .note = note,
                  .write_id = NewUniqueId()});
    if (!change) {
      LogEvent(Severity::kWarning, "change_refused")
          .With("author", author)
          .With("error", ToString(change.error().code))
          .With("where", change.error().where);
      return ToStatus(change.error());
    }
    if (!request.dry_run) {
      LogEvent(Severity::kInfo, "change_accepted")
          .With("author", author)
          .With("revision", change->revision());
    }
    reply->set_revision(change->revision());
    return grpc::Status::OK;
  }

  grpc::Status ToStatus(const Failure& failure) const {
    v1::Refusal refusal;
    refusal.set_type(std::string(ToString(failure.code)));
    refusal.set_where(failure.where);
    refusal.set_outcome(std::string(ToString(failure.outcome)));
    const Revision revision = state_.config.current()->revision();
    refusal.set_current_revision(revision.value());
    if (failure.code == Errc::kConflict && revision.value() > 0) {
      const auto newest = state_.config.WaitForChanges(
          Revision(revision.value() - 1), std::chrono::milliseconds(0));
      if (!newest.empty()) {
        *refusal.mutable_winner() = newest.back();
      }
    }
    if (failure.retry_after) {
      refusal.set_retry_after_ms(failure.retry_after->count());
    }
    return {StatusCodeOf(failure.code), refusal.type() + " at " + failure.where,
            refusal.SerializeAsString()};
  }

  EntryState& state_;
  ConfigService& config_service_;
  std::atomic<bool> closing_{false};
};

}  // namespace

struct OperatorServer::State {
  State(EntryState& entry, ConfigService& config_service)
      : service(entry, config_service) {}

  Service service;
  std::string address;
  std::unique_ptr<grpc::Server> server;
};

OperatorServer::OperatorServer(EntryState& state, ConfigService& config_service)
    : state_(std::make_unique<State>(state, config_service)) {
  const std::string& address = state.settings.listen.operators;
  grpc::ResourceQuota quota("operators");
  quota.SetMaxThreads(kMaxThreads);
  grpc::ServerBuilder builder;
  builder.SetResourceQuota(quota);
  builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&state_->service);
  state_->server = builder.BuildAndStart();
  if (state_->server == nullptr || port == 0) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            address);
  }
  state_->address =
      address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

OperatorServer::~OperatorServer() {
  Close();
}

std::string OperatorServer::address() const {
  return state_->address;
}

void OperatorServer::Close() {
  state_->service.Close();
  state_->server->Shutdown(std::chrono::system_clock::now() +
                           kWatchPollInterval * 2);
}

}  // namespace sycamoreford
