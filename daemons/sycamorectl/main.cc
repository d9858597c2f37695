// The operators' command-line client.
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>
#include <tclap/CmdLine.h>

#include "sycamoreford/v1/operator.grpc.pb.h"
#include "sycamoreford/version.h"

namespace {

namespace v1 = sycamoreford::v1;

constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnreachable = 4;
constexpr int kExitConflict = 5;
constexpr std::chrono::seconds kCallTimeout{20};

/// What the command line asks for.
struct Options {
  std::string server;
  std::string token;
  std::string command;
  std::vector<std::string> arguments;
  std::string note;
  std::uint64_t expected = 0;
  std::uint64_t after = 0;
  unsigned limit = 0;
  bool dry_run = false;
  bool json = false;
};

std::string ToJson(const google::protobuf::Message& message) {
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

v1::Kind ParseKind(const std::string& name) {
  std::string upper = "KIND_";
  for (char c : name) {
    upper += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  v1::Kind kind = v1::KIND_UNSPECIFIED;
  if (!v1::Kind_Parse(upper, &kind)) {
    throw TCLAP::ArgException("unknown kind", name);
  }
  return kind;
}

std::string KindName(const v1::Resource& resource) {
  const auto* field = resource.GetDescriptor()->FindFieldByNumber(
      static_cast<int>(resource.content_case()));
  return field == nullptr ? "?" : field->name();
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
  } else {
    const std::ifstream file(path);
    if (!file) {
      throw TCLAP::ArgException("can not be read", path);
    }
    text << file.rdbuf();
  }
  return text.str();
}

class Client {
 public:
  explicit Client(Options options)
      : options_(std::move(options)),
        stub_(v1::Operator::NewStub(
            grpc::CreateChannel(options_.server,
                                grpc::InsecureChannelCredentials()))) {}

  int Run() {
    const std::string& command = options_.command;
    if (command == "get") {
      return Get();
    }
    if (command == "list") {
      return List();
    }
    if (command == "apply") {
      return Apply();
    }
    if (command == "delete") {
      return Delete();
    }
    if (command == "history") {
      return History();
    }
    if (command == "rollback") {
      return Rollback();
    }
    if (command == "watch") {
      return Watch();
    }
    if (command == "state") {
      return State();
    }
    std::cerr << "unknown command: " << command << '\n';
    return kExitUsage;
  }

 private:
  std::unique_ptr<grpc::ClientContext> Context(bool bounded = true) const {
    auto context = std::make_unique<grpc::ClientContext>();
    context->AddMetadata("authorization", "Bearer " + options_.token);
    if (bounded) {
      context->set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    }
    return context;
  }

  const std::string& Argument(std::size_t index) const {
    if (index >= options_.arguments.size()) {
      throw TCLAP::ArgException("an argument is missing", options_.command);
    }
    return options_.arguments[index];
  }

  int Fail(const grpc::Status& status) const {
    v1::Refusal refusal;
    const bool typed = refusal.ParseFromString(status.error_details()) &&
                       !refusal.type().empty();
    if (options_.json && typed) {
      std::cout << ToJson(refusal) << '\n';
    } else {
      std::cerr << "refused: " << status.error_message() << '\n';
      if (refusal.has_winner()) {
        std::cerr << "revision " << refusal.winner().revision() << " by "
                  << refusal.winner().author() << " came first\n";
      }
    }
    if (!typed) {
      return kExitUnreachable;
    }
    return refusal.type() == "conflict" ? kExitConflict : kExitRefused;
  }

  int Get() {
    v1::GetRequest request;
    request.set_kind(ParseKind(Argument(0)));
    request.set_name(Argument(1));
    v1::GetReply reply;
    const auto status = stub_->Get(Context().get(), request, &reply);
    if (!status.ok()) {
      return Fail(status);
    }
    std::cout << ToJson(reply.resource()) << '\n';
    return 0;
  }

  int List() {
    v1::ListRequest request;
    if (!options_.arguments.empty()) {
      request.set_kind(ParseKind(Argument(0)));
    }
    v1::ListReply reply;
    const auto status = stub_->List(Context().get(), request, &reply);
    if (!status.ok()) {
      return Fail(status);
    }
    if (options_.json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    std::cout << "KIND\tNAME\tREVISION\n";
    for (const auto& resource : reply.resources()) {
      std::cout << KindName(resource) << '\t' << resource.name() << '\t'
                << resource.revision() << '\n';
    }
    return 0;
  }

  int PrintRevision(const v1::ApplyReply& reply) const {
    if (options_.json) {
      std::cout << ToJson(reply) << '\n';
    } else {
      std::cout << (options_.dry_run ? "valid, would be revision "
                                     : "accepted as revision ")
                << reply.revision() << '\n';
    }
    return 0;
  }

  int SendApply(v1::ApplyRequest& request) {
    request.set_dry_run(options_.dry_run);
    request.set_note(options_.note);
    if (options_.expected != 0) {
      request.set_expected_revision(options_.expected);
    }
    v1::ApplyReply reply;
    const auto status = stub_->Apply(Context().get(), request, &reply);
    return status.ok() ? PrintRevision(reply) : Fail(status);
  }

  int Apply() {
    v1::ApplyRequest request;
    const auto parsed = google::protobuf::util::JsonStringToMessage(
        ReadFile(Argument(0)), &request);
    if (!parsed.ok()) {
      std::cerr << Argument(0) << ": " << parsed.message() << '\n';
      return kExitUsage;
    }
    return SendApply(request);
  }

  int Delete() {
    v1::ApplyRequest request;
    v1::Edit* edit = request.add_edits();
    edit->set_verb(v1::Edit::VERB_DELETE);
    edit->set_kind(ParseKind(Argument(0)));
    edit->mutable_resource()->set_name(Argument(1));
    return SendApply(request);
  }

  int History() {
    v1::HistoryRequest request;
    request.set_limit(options_.limit);
    v1::HistoryReply reply;
    const auto status = stub_->History(Context().get(), request, &reply);
    if (!status.ok()) {
      return Fail(status);
    }
    if (options_.json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    std::cout << "REVISION\tAUTHOR\tEDITS\tNOTE\n";
    for (const auto& change : reply.changes()) {
      std::cout << change.revision() << '\t' << change.author() << '\t'
                << change.edits_size() << '\t' << change.note() << '\n';
    }
    return 0;
  }

  int Rollback() {
    v1::RollbackRequest request;
    request.set_to_revision(std::stoull(Argument(0)));
    request.set_expected_revision(options_.expected);
    request.set_dry_run(options_.dry_run);
    request.set_note(options_.note);
    v1::ApplyReply reply;
    const auto status = stub_->Rollback(Context().get(), request, &reply);
    return status.ok() ? PrintRevision(reply) : Fail(status);
  }

  int Watch() {
    v1::WatchRequest request;
    request.set_after_revision(options_.after);
    const auto context = Context(false);
    const auto reader = stub_->Watch(context.get(), request);
    v1::WatchEvent event;
    while (reader->Read(&event)) {
      if (options_.json) {
        std::cout << ToJson(event) << std::endl;
      } else {
        std::cout << event.revision() << '\t' << event.change().author() << '\t'
                  << event.change().note() << std::endl;
      }
    }
    const auto status = reader->Finish();
    return status.ok() ? 0 : Fail(status);
  }

  int State() {
    v1::StateReply reply;
    const auto status = stub_->State(Context().get(), {}, &reply);
    if (!status.ok()) {
      return Fail(status);
    }
    if (options_.json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    std::cout << "daemon " << reply.daemon() << ", revision "
              << reply.revision() << ", confirmed " << reply.config_age_ms()
              << " ms ago\nplanned stop: " << reply.drain_state();
    if (reply.drain_bound_ms() > 0) {
      std::cout << ", at most " << reply.drain_bound_ms() << " ms more";
    }
    std::cout << "\nPOOL\tENDPOINT\tADDRESS\tIN FLIGHT\tSTATE\n";
    for (const auto& endpoint : reply.endpoints()) {
      const char* state = endpoint.leaving()     ? "leaving"
                          : endpoint.suspected() ? "suspected"
                                                 : "good";
      std::cout << endpoint.pool() << '\t' << endpoint.name() << '\t'
                << endpoint.address() << '\t' << endpoint.in_flight() << '\t'
                << state << '\n';
    }
    std::cout << "DAEMON\tDATA CENTRE\tREVISION\tSTATE\n";
    for (const auto& daemon : reply.daemons()) {
      const char* state = daemon.draining() ? "draining"
                          : daemon.alive()  ? "alive"
                                            : "gone";
      std::cout << daemon.name() << '\t' << daemon.data_center() << '\t'
                << daemon.revision() << '\t' << state << '\n';
    }
    std::cout << "LEASE\tHOLDER\tFENCING\n";
    for (const auto& lease : reply.leases()) {
      std::cout << lease.name() << '\t' << lease.holder() << '\t'
                << lease.fencing() << '\n';
    }
    return 0;
  }

  Options options_;
  std::unique_ptr<v1::Operator::Stub> stub_;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Operators' client of sycamoreford. Commands: get KIND NAME, list "
      "[KIND], apply FILE, delete KIND NAME, history, rollback REVISION, "
      "watch, state. Kinds: route, service-route, customer, priority, pool, "
      "model-version, adapter. The operator's token is read from the "
      "environment variable SYCAMORE_TOKEN. Exit codes: 0 done, 2 wrong "
      "usage, 3 refused, 4 unreachable, 5 conflict.",
      ' ', sycamoreford::kVersion);
  TCLAP::ValueArg<std::string> server("", "server", "Operators' address", false,
                                      "127.0.0.1:7070", "ADDRESS", line);
  TCLAP::ValueArg<std::string> note("", "note", "Why the change is made", false,
                                    "", "TEXT", line);
  TCLAP::ValueArg<std::uint64_t> expected(
      "", "expected", "Revision that was looked at", false, 0, "N", line);
  TCLAP::ValueArg<std::uint64_t> after(
      "", "after", "Watch only above this revision", false, 0, "N", line);
  TCLAP::ValueArg<unsigned> limit("", "limit", "Most rows", false, 0, "N",
                                  line);
  TCLAP::SwitchArg dry_run("", "dry-run", "Validate only", line);
  TCLAP::SwitchArg json("", "json", "Print JSON", line);
  TCLAP::UnlabeledValueArg<std::string> command("command", "Command", true, "",
                                                "COMMAND", line);
  TCLAP::UnlabeledMultiArg<std::string> arguments(
      "arguments", "Arguments of the command", false, "ARGUMENT", line);
  line.parse(argc, argv);
  const char* token = std::getenv("SYCAMORE_TOKEN");
  return {.server = server.getValue(),
          .token = token == nullptr ? "" : token,
          .command = command.getValue(),
          .arguments = arguments.getValue(),
          .note = note.getValue(),
          .expected = expected.getValue(),
          .after = after.getValue(),
          .limit = limit.getValue(),
          .dry_run = dry_run.getValue(),
          .json = json.getValue()};
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Client(ParseOptions(argc, argv)).Run();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  }
}
