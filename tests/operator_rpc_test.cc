// The operators' RPC, called by clients over gRPC.
#include <csignal>

#include <grpcpp/grpcpp.h>
#include <catch2/catch.hpp>

#include "support/config_changes.h"
#include "support/test_deployment.h"
#include "sycamoreford/v1/operator.grpc.pb.h"

namespace sycamoreford {
namespace {

using support::PutPriority;
using support::TestDeployment;

constexpr std::chrono::seconds kCallTimeout{20};

class OperatorClient {
 public:
  explicit OperatorClient(const std::string& address)
      : stub_(v1::Operator::NewStub(
            grpc::CreateChannel(address, grpc::InsecureChannelCredentials()))) {
  }

  std::unique_ptr<grpc::ClientContext> Context(
      const std::string& token = "operator-token") const {
    auto context = std::make_unique<grpc::ClientContext>();
    context->AddMetadata("authorization", "Bearer " + token);
    context->set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    return context;
  }

  grpc::Status Apply(const v1::ApplyRequest& request,
                     v1::ApplyReply* reply = nullptr) {
    v1::ApplyReply ignored;
    return stub_->Apply(Context().get(), request,
                        reply == nullptr ? &ignored : reply);
  }

  v1::Operator::Stub& stub() { return *stub_; }

 private:
  std::unique_ptr<v1::Operator::Stub> stub_;
};

v1::ApplyRequest Put(std::uint32_t rank, std::uint64_t expected = 0) {
  v1::ApplyRequest request;
  *request.add_edits() = PutPriority("late", rank);
  request.set_expected_revision(expected);
  return request;
}

v1::Refusal RefusalOf(const grpc::Status& status) {
  v1::Refusal refusal;
  REQUIRE_FALSE(status.ok());
  REQUIRE(refusal.ParseFromString(status.error_details()));
  return refusal;
}

TEST_CASE("operators' RPC") {
  TestDeployment::Options options;
  options.daemons = 2;
  TestDeployment deployment(options);
  OperatorClient first(deployment.operator_address(0));
  OperatorClient second(deployment.operator_address(1));

  SECTION("the later of two concurrent changes is refused with the winner") {
    REQUIRE(first.Apply(Put(3, 1)).ok());
    const v1::Refusal refusal = RefusalOf(second.Apply(Put(4, 1)));
    REQUIRE(refusal.type() == "conflict");
    REQUIRE(refusal.outcome() == "not_run");
    REQUIRE(refusal.current_revision() == 2);
    REQUIRE(refusal.winner().author() == "captain");
    REQUIRE(refusal.winner().edits(0).resource().priority().rank() == 3);
  }

  SECTION("a dry run changes nothing") {
    v1::ApplyRequest request = Put(3);
    request.set_dry_run(true);
    v1::ApplyReply reply;
    REQUIRE(first.Apply(request, &reply).ok());
    REQUIRE(reply.revision() == 2);
    v1::ListReply listed;
    REQUIRE(first.stub().List(first.Context().get(), {}, &listed).ok());
    REQUIRE(listed.revision() == 1);
  }

  SECTION(
      "a long history is paged, and rollback can restore an early revision") {
    for (std::uint32_t i = 0; i < 120; ++i) {
      REQUIRE(first.Apply(Put(i)).ok());
    }
    v1::HistoryRequest request;
    std::uint64_t next = 121;
    for (int page = 0; page < 2; ++page) {
      v1::HistoryReply reply;
      REQUIRE(
          second.stub().History(second.Context().get(), request, &reply).ok());
      for (const v1::Change& change : reply.changes()) {
        REQUIRE(change.revision() == next--);
      }
      request.set_before(next + 1);
    }
    REQUIRE(next == 0);
    v1::RollbackRequest rollback;
    rollback.set_to_revision(2);
    v1::ApplyReply reply;
    const auto status =
        first.stub().Rollback(first.Context().get(), rollback, &reply);
    CAPTURE(status.error_message());
    REQUIRE(status.ok());
    REQUIRE(reply.revision() == 122);
    v1::GetRequest get;
    get.set_kind(v1::KIND_PRIORITY);
    get.set_name("late");
    v1::GetReply got;
    REQUIRE(first.stub().Get(first.Context().get(), get, &got).ok());
    REQUIRE(got.resource().priority().rank() == 0);
  }

  SECTION("a rollback to a revision that does not exist is refused") {
    for (const std::uint64_t target :
         {std::uint64_t{99}, std::numeric_limits<std::uint64_t>::max()}) {
      v1::RollbackRequest rollback;
      rollback.set_to_revision(target);
      v1::ApplyReply reply;
      REQUIRE(RefusalOf(first.stub().Rollback(first.Context().get(), rollback,
                                              &reply))
                  .type() == "not_found");
    }
  }

  SECTION("a watch resumes at another daemon after a planned stop") {
    std::vector<std::uint64_t> seen;
    const auto watch = [&](OperatorClient& client, std::size_t until) {
      v1::WatchRequest request;
      request.set_after_revision(seen.empty() ? 1 : seen.back());
      const auto context = client.Context();
      const auto reader = client.stub().Watch(context.get(), request);
      v1::WatchEvent event;
      while (seen.size() < until && reader->Read(&event)) {
        seen.push_back(event.revision());
      }
      context->TryCancel();
      (void)reader->Finish();
    };
    REQUIRE(second.Apply(Put(3)).ok());
    watch(first, 1);
    deployment.daemon(0).Signal(SIGTERM);
    REQUIRE(second.Apply(Put(4)).ok());
    REQUIRE(second.Apply(Put(5)).ok());
    watch(second, 3);
    REQUIRE(seen == std::vector<std::uint64_t>{2, 3, 4});
    REQUIRE(deployment.daemon(0).Wait(kCallTimeout) == 0);
  }

  SECTION("invalid input gets a typed refusal, and the daemon keeps serving") {
    v1::ApplyRequest request = Put(3);
    SECTION("an unknown kind") {
      request.mutable_edits(0)->set_kind(static_cast<v1::Kind>(99));
      REQUIRE(RefusalOf(first.Apply(request)).where() == "edits[0].kind");
    }
    SECTION("an unknown verb") {
      request.mutable_edits(0)->set_verb(static_cast<v1::Edit::Verb>(99));
      REQUIRE(RefusalOf(first.Apply(request)).where() == "edits[0].verb");
    }
    SECTION("an empty name") {
      request.mutable_edits(0)->mutable_resource()->clear_name();
      REQUIRE(RefusalOf(first.Apply(request)).where() ==
              "edits[0].resource.name");
    }
    SECTION("no edits") {
      request.clear_edits();
      REQUIRE(RefusalOf(first.Apply(request)).type() == "invalid_change");
    }
    SECTION("too many edits") {
      for (int i = 0; i < 1'001; ++i) {
        *request.add_edits() = request.edits(0);
      }
      REQUIRE(RefusalOf(first.Apply(request)).type() == "too_large");
    }
    SECTION("a message over the limit") {
      request.set_note(std::string(5UL * 1024 * 1024, 'x'));
      REQUIRE(first.Apply(request).error_code() ==
              grpc::StatusCode::RESOURCE_EXHAUSTED);
    }
    SECTION("a wrong token") {
      v1::ApplyReply reply;
      REQUIRE(RefusalOf(first.stub().Apply(first.Context("wrong-token").get(),
                                           request, &reply))
                  .type() == "unauthorized");
    }
    REQUIRE(first.Apply(Put(4)).ok());
    REQUIRE(deployment.daemon(0).Output().find("-token") == std::string::npos);
  }
}

}  // namespace
}  // namespace sycamoreford
