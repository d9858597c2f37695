// sycamored, the entry daemon; one runs on each entry VM.
#include <iostream>

#include <tclap/CmdLine.h>

#include "sycamoreford/adapters/entry_daemon.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/settings/settings.h"
#include "sycamoreford/version.h"

namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitCannotStart = 3;
/// The daemon stopped before all of its requests had ended.
constexpr int kExitCutOff = 4;

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Entry daemon of sycamoreford", ' ',
                         sycamoreford::kVersion);
  TCLAP::ValueArg<std::string> path("s", "settings", "Settings file", true, "",
                                    "FILE", command);
  TCLAP::SwitchArg check("", "check", "Check the settings and exit", command);
  TCLAP::SwitchArg verbose("", "verbose", "Log debug events", command);
  command.parse(argc, argv);

  const auto parsed = sycamoreford::LoadSettings(path.getValue());
  for (const auto& error : parsed.errors) {
    std::cerr << path.getValue() << ": " << error.path << ": expected "
              << error.expected << '\n';
  }
  if (!parsed.is_valid()) {
    return kExitInvalidSettings;
  }
  if (check.getValue()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  sycamoreford::InitLogging(verbose.getValue() ? sycamoreford::Severity::kDebug
                                               : sycamoreford::Severity::kInfo);
  try {
    sycamoreford::EntryDaemon daemon(parsed.settings);
    return daemon.Run() ? 0 : kExitCutOff;
  } catch (const std::exception& error) {
    sycamoreford::LogEvent(sycamoreford::Severity::kError, "cannot_start")
        .With("reason", error.what());
    return kExitCannotStart;
  }
}
