// sycamorectl, the command-line client for operators.
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>
#include <tclap/CmdLine.h>

#include "sycamoreford/v1/operator.grpc.pb.h"
#include "sycamoreford/version.h"
#include "text_table.h"

namespace {

namespace v1 = sycamoreford::v1;

constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnreachable = 4;
constexpr int kExitConflict = 5;
constexpr int kExitOutcomeUnknown = 6;
constexpr std::chrono::milliseconds kReconnectDelay{500};
constexpr std::chrono::seconds kCallTimeout{20};

/// The parsed command line.
struct Options {
  /// Operator addresses of daemons; reads go to the first reachable one.
  std::vector<std::string> servers;
  std::string token;
  std::string command;
  std::vector<std::string> arguments;
  std::string note;
  std::uint64_t expected_revision = 0;
  std::uint64_t after_revision = 0;
  unsigned max_rows = 0;
  std::uint64_t before_revision = 0;
  unsigned screen_count = 0;
  std::chrono::milliseconds screen_interval{1'000};
  bool dry_run = false;
  bool print_json = false;
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
      throw TCLAP::ArgException("cannot be read", path);
    }
    text << file.rdbuf();
  }
  return text.str();
}

/// The edits of a change as text, for example ` put pool bell, delete route x`.
std::string DescribeEdits(const v1::Change& change) {
  constexpr std::size_t kVerbPrefixLength = 5;
  constexpr std::size_t kKindPrefixLength = 5;
  std::string text;
  for (const v1::Edit& edit : change.edits()) {
    const std::string words =
        v1::Edit::Verb_Name(edit.verb()).substr(kVerbPrefixLength) + " " +
        v1::Kind_Name(edit.kind()).substr(kKindPrefixLength);
    text += text.empty() ? " " : ", ";
    for (const char c : words) {
      text += c == '_' ? '-' : static_cast<char>(std::tolower(c));
    }
    text += " " + edit.resource().name();
  }
  return text;
}

class Client {
 public:
  explicit Client(Options options) : options_(std::move(options)) {
    for (const std::string& server : options_.servers) {
      stubs_.push_back(v1::Operator::NewStub(
          grpc::CreateChannel(server, grpc::InsecureChannelCredentials())));
    }
  }

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
    if (command == "top") {
      return Top();
    }
    std::cerr << "unknown command: " << command << '\n';
    return kExitUsage;
  }

 private:
  std::unique_ptr<grpc::ClientContext> MakeContext(
      bool has_deadline = true) const {
    auto context = std::make_unique<grpc::ClientContext>();
    context->AddMetadata("authorization", "Bearer " + options_.token);
    if (has_deadline) {
      context->set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    }
    return context;
  }

  /// Tries the servers in order until one is reachable.
  template <class Call>
  grpc::Status ReadFromAny(const Call& call) const {
    grpc::Status status;
    for (const auto& stub : stubs_) {
      status = call(*stub);
      if (status.error_code() != grpc::StatusCode::UNAVAILABLE ||
          !status.error_details().empty()) {
        break;
      }
    }
    return status;
  }

  const std::string& Argument(std::size_t index) const {
    if (index >= options_.arguments.size()) {
      throw TCLAP::ArgException("an argument is missing", options_.command);
    }
    return options_.arguments[index];
  }

  int ReportFailure(const grpc::Status& status) const {
    v1::Refusal refusal;
    const bool is_typed = refusal.ParseFromString(status.error_details()) &&
                          !refusal.type().empty();
    if (options_.print_json && is_typed) {
      std::cout << ToJson(refusal) << '\n';
    } else {
      const bool is_unknown = refusal.outcome() == "unknown";
      std::cerr << (is_unknown ? "outcome unknown: " : "refused: ")
                << status.error_message() << '\n';
      if (refusal.has_winner()) {
        std::cerr << "revision " << refusal.winner().revision() << " by "
                  << refusal.winner().author()
                  << " came first:" << DescribeEdits(refusal.winner()) << '\n';
      }
    }
    if (!is_typed) {
      return status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED
                 ? kExitRefused
                 : kExitUnreachable;
    }
    if (refusal.outcome() == "unknown") {
      return kExitOutcomeUnknown;
    }
    return refusal.type() == "conflict" ? kExitConflict : kExitRefused;
  }

  int Get() {
    v1::GetRequest request;
    request.set_kind(ParseKind(Argument(0)));
    request.set_name(Argument(1));
    v1::GetReply reply;
    const auto status = ReadFromAny([&](v1::Operator::Stub& stub) {
      return stub.Get(MakeContext().get(), request, &reply);
    });
    if (!status.ok()) {
      return ReportFailure(status);
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
    const auto status = ReadFromAny([&](v1::Operator::Stub& stub) {
      return stub.List(MakeContext().get(), request, &reply);
    });
    if (!status.ok()) {
      return ReportFailure(status);
    }
    if (options_.print_json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    sycamoreford::TextTable table({"KIND", "NAME", "REVISION"});
    for (const auto& resource : reply.resources()) {
      table.Add({KindName(resource), resource.name(),
                 std::to_string(resource.revision())});
    }
    table.Print(std::cout);
    return 0;
  }

  int PrintRevision(const v1::ApplyReply& reply) const {
    if (options_.print_json) {
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
    if (options_.expected_revision != 0) {
      request.set_expected_revision(options_.expected_revision);
    }
    v1::ApplyReply reply;
    const auto status =
        stubs_.front()->Apply(MakeContext().get(), request, &reply);
    return status.ok() ? PrintRevision(reply) : ReportFailure(status);
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
    request.set_limit(options_.max_rows);
    request.set_before(options_.before_revision);
    v1::HistoryReply reply;
    const auto status = ReadFromAny([&](v1::Operator::Stub& stub) {
      return stub.History(MakeContext().get(), request, &reply);
    });
    if (!status.ok()) {
      return ReportFailure(status);
    }
    if (options_.print_json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    sycamoreford::TextTable table({"REVISION", "AUTHOR", "NOTE", "EDITS"});
    for (const auto& change : reply.changes()) {
      table.Add({std::to_string(change.revision()), change.author(),
                 change.note(), DescribeEdits(change)});
    }
    table.Print(std::cout);
    return 0;
  }

  int Rollback() {
    v1::RollbackRequest request;
    request.set_to_revision(std::stoull(Argument(0)));
    request.set_expected_revision(options_.expected_revision);
    request.set_dry_run(options_.dry_run);
    request.set_note(options_.note);
    v1::ApplyReply reply;
    const auto status =
        stubs_.front()->Rollback(MakeContext().get(), request, &reply);
    return status.ok() ? PrintRevision(reply) : ReportFailure(status);
  }

  /// Prints the changes that one server streams until the stream ends; `after`
  /// becomes the last revision printed.
  grpc::Status WatchServer(v1::Operator::Stub& stub,
                           std::uint64_t& after) const {
    v1::WatchRequest request;
    request.set_after_revision(after);
    const auto context = MakeContext(false);
    const auto reader = stub.Watch(context.get(), request);
    v1::WatchEvent event;
    while (reader->Read(&event)) {
      if (event.revision() <= after) {
        continue;
      }
      after = event.revision();
      if (options_.print_json) {
        std::cout << ToJson(event) << std::endl;
      } else {
        std::cout << event.revision() << "  " << event.change().author() << "  "
                  << event.change().note() << DescribeEdits(event.change())
                  << std::endl;
      }
    }
    return reader->Finish();
  }

  /// Watches until interrupted. When a daemon stops, continues at the next
  /// server after the last revision seen.
  int Watch() {
    std::uint64_t after = options_.after_revision;
    for (std::size_t i = 0;; ++i) {
      const auto status = WatchServer(*stubs_[i % stubs_.size()], after);
      const bool is_disconnected =
          status.ok() || (status.error_code() == grpc::StatusCode::UNAVAILABLE);
      if (!is_disconnected) {
        return ReportFailure(status);
      }
      std::this_thread::sleep_for(kReconnectDelay);
    }
  }

  int Top() {
    for (unsigned i = 0;
         options_.screen_count == 0 || i < options_.screen_count; ++i) {
      if (i > 0) {
        std::this_thread::sleep_for(options_.screen_interval);
      }
      if (!options_.print_json) {
        std::cout << "\x1b[H\x1b[2J";
      }
      const int code = State();
      std::cout << std::flush;
      if (code != 0 && code != kExitUnreachable) {
        return code;
      }
    }
    return 0;
  }

  int State() const {
    v1::StateReply reply;
    const auto status = ReadFromAny([&](v1::Operator::Stub& stub) {
      return stub.State(MakeContext().get(), {}, &reply);
    });
    if (!status.ok()) {
      return ReportFailure(status);
    }
    if (options_.print_json) {
      std::cout << ToJson(reply) << '\n';
      return 0;
    }
    std::cout << "daemon " << reply.daemon() << ", revision "
              << reply.revision() << " in force at " << reply.daemons_in_force()
              << " of " << reply.daemons_alive() << ", confirmed "
              << reply.config_age_ms() << " ms ago, "
              << (reply.config_confirmed() ? "serving" : "not serving")
              << "\nplanned stop: " << reply.drain_state();
    if (reply.drain_bound_ms() > 0) {
      std::cout << ", at most " << reply.drain_bound_ms() << " ms more";
    }
    std::cout << "\n\n";
    PrintEndpoints(reply);
    PrintDaemons(reply);
    PrintLeases(reply);
    return 0;
  }

  static void PrintEndpoints(const v1::StateReply& reply) {
    sycamoreford::TextTable table(
        {"POOL", "ENDPOINT", "ADDRESS", "IN FLIGHT", "STATE"});
    for (const auto& endpoint : reply.endpoints()) {
      const char* state = endpoint.leaving()     ? "leaving"
                          : endpoint.suspected() ? "suspected"
                                                 : "good";
      table.Add({endpoint.pool(), endpoint.name(), endpoint.address(),
                 std::to_string(endpoint.in_flight()), state});
    }
    table.Print(std::cout);
    std::cout << '\n';
  }

  static void PrintDaemons(const v1::StateReply& reply) {
    sycamoreford::TextTable table(
        {"DAEMON", "REGION", "DATA CENTRE", "REVISION", "AGE MS", "STATE"});
    for (const auto& daemon : reply.daemons()) {
      const char* state = !daemon.alive()     ? "gone"
                          : daemon.draining() ? "draining"
                                              : "alive";
      table.Add({daemon.name(), daemon.region(), daemon.data_center(),
                 std::to_string(daemon.revision()),
                 std::to_string(daemon.age_ms()), state});
    }
    table.Print(std::cout);
    std::cout << '\n';
  }

  static void PrintLeases(const v1::StateReply& reply) {
    sycamoreford::TextTable table({"LEASE", "HOLDER", "FENCING"});
    for (const auto& lease : reply.leases()) {
      table.Add(
          {lease.name(), lease.holder(), std::to_string(lease.fencing())});
    }
    table.Print(std::cout);
  }

  Options options_;
  std::vector<std::unique_ptr<v1::Operator::Stub>> stubs_;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Operators' client of sycamoreford. Commands: get KIND NAME, list "
      "[KIND], apply FILE, delete KIND NAME, history, rollback REVISION, "
      "watch, state, top. Kinds: route, service-route, customer, priority, "
      "pool, "
      "model-version, adapter. The operator's token is read from the "
      "environment variable SYCAMORE_TOKEN. Exit codes: 0 done, 2 wrong "
      "usage, 3 refused, 4 unreachable, 5 conflict, 6 outcome unknown.",
      ' ', sycamoreford::kVersion);
  TCLAP::MultiArg<std::string> servers(
      "", "server",
      "Operator address of a daemon; if given more than once, reads and "
      "watches continue at the next one when one is unreachable (default "
      "127.0.0.1:7070)",
      false, "ADDRESS", line);
  TCLAP::ValueArg<std::uint64_t> before(
      "", "before", "Print only the history before this revision", false, 0,
      "N", line);
  TCLAP::ValueArg<unsigned> count(
      "", "count", "Number of screens of top; 0 runs until interrupted", false,
      0, "N", line);
  TCLAP::ValueArg<unsigned> interval("", "interval-ms",
                                     "Milliseconds between two screens of top",
                                     false, 1'000, "N", line);
  TCLAP::ValueArg<std::string> note("", "note", "Why the change is made", false,
                                    "", "TEXT", line);
  TCLAP::ValueArg<std::uint64_t> expected(
      "", "expected", "Revision that the change is based on", false, 0, "N",
      line);
  TCLAP::ValueArg<std::uint64_t> after("", "after",
                                       "Watch only changes after this revision",
                                       false, 0, "N", line);
  TCLAP::ValueArg<unsigned> limit("", "limit", "Maximum number of rows", false,
                                  0, "N", line);
  TCLAP::SwitchArg dry_run("", "dry-run", "Validate only", line);
  TCLAP::SwitchArg json("", "json", "Print JSON", line);
  TCLAP::UnlabeledValueArg<std::string> command("command", "Command", true, "",
                                                "COMMAND", line);
  TCLAP::UnlabeledMultiArg<std::string> arguments(
      "arguments", "Arguments of the command", false, "ARGUMENT", line);
  line.parse(argc, argv);
  const char* token = std::getenv("SYCAMORE_TOKEN");
  std::vector<std::string> addresses = servers.getValue();
  if (addresses.empty()) {
    addresses.emplace_back("127.0.0.1:7070");
  }
  return {.servers = std::move(addresses),
          .token = token == nullptr ? "" : token,
          .command = command.getValue(),
          .arguments = arguments.getValue(),
          .note = note.getValue(),
          .expected_revision = expected.getValue(),
          .after_revision = after.getValue(),
          .max_rows = limit.getValue(),
          .before_revision = before.getValue(),
          .screen_count = count.getValue(),
          .screen_interval = std::chrono::milliseconds(interval.getValue()),
          .dry_run = dry_run.getValue(),
          .print_json = json.getValue()};
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
