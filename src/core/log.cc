#include "sycamoreford/core/log.h"

#include <algorithm>

#include <easylogging++.h>
#include <unistd.h>

#include "sycamoreford/core/log_sink.h"

INITIALIZE_EASYLOGGINGPP

namespace sycamoreford {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f';
         });
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += (c < ' ' && c >= 0) || c == '\x7f' ? '?' : c;
  }
  line += '"';
}

std::string_view Name(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

/// Forwards log lines from the logging library to the sink for standard output.
class SinkDispatch final : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    if (data->dispatchAction() != el::base::DispatchAction::NormalLog) {
      return;
    }
    const el::LogMessage& message = *data->logMessage();
    std::string line = message.logger()->logBuilder()->build(&message, false);
    sink_.Write(line, std::chrono::steady_clock::now());
  }

 private:
  LogSink sink_{STDOUT_FILENO};
};

}  // namespace

LogEvent::LogEvent(Severity severity, std::string_view event)
    : severity_(severity) {
  line_.append("level=").append(Name(severity)).append(" event=").append(event);
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  line_.append(" ").append(key).append("=");
  if (NeedsQuotes(value)) {
    AppendQuoted(line_, value);
  } else {
    line_.append(value);
  }
  return *this;
}

LogEvent& LogEvent::With(std::string_view key, std::chrono::nanoseconds value) {
  return With(
      key,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

LogEvent::~LogEvent() {
  switch (severity_) {
    case Severity::kDebug:
      LOG(DEBUG) << line_;
      return;
    case Severity::kInfo:
      LOG(INFO) << line_;
      return;
    case Severity::kWarning:
      LOG(WARNING) << line_;
      return;
    case Severity::kError:
      LOG(ERROR) << line_;
      return;
  }
}

void InitLogging(Severity min_severity) {
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  if (min_severity > Severity::kDebug) {
    configurations.set(el::Level::Debug, el::ConfigurationType::Enabled,
                       "false");
  }
  if (min_severity > Severity::kInfo) {
    configurations.set(el::Level::Info, el::ConfigurationType::Enabled,
                       "false");
  }
  if (min_severity > Severity::kWarning) {
    configurations.set(el::Level::Warning, el::ConfigurationType::Enabled,
                       "false");
  }
  el::Loggers::reconfigureAllLoggers(configurations);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
}

}  // namespace sycamoreford
