// Parses arguments with TCLAP into typed structs or typed errors.

#include "LibOperator/verb_arguments.h"

#include <tclap/CmdLine.h>

#include "LibContract/contract.h"

namespace carobbank {

namespace {

constexpr char kVersion[] = "0.1.0";
constexpr std::size_t kMaxTokenBytes = 4'096;
constexpr int kDefaultTimeoutSeconds = 30;
constexpr int kMaxTimeoutSeconds = 3'600;

// Arguments that several subcommands share.
struct JsonSwitch {
  explicit JsonSwitch(TCLAP::CmdLine& line)
      : json("", "json", "print one JSON document", line) {}
  TCLAP::SwitchArg json;
};

struct TokenFile {
  explicit TokenFile(TCLAP::CmdLine& line)
      : file("",
             "token-file",
             "file whose first line is the operators' token",
             false,
             "",
             "FILE",
             line) {}

  Result<std::string> Read() {
    if (this->file.getValue().empty()) {
      return std::string();
    }
    BOOST_LEAF_AUTO(text, ReadTextFile(this->file.getValue(), kMaxTokenBytes));
    return text.substr(0, text.find('\n'));
  }

  TCLAP::ValueArg<std::string> file;
};

// Parses the command line; `read` then builds T from the parsed arguments.
template <typename T, typename Read>
Parsed<T> Parse(TCLAP::CmdLine& line,
                std::span<const std::string> arguments,
                Read&& read) {
  try {
    line.setExceptionHandling(false);
    std::vector<std::string> copy(arguments.begin(), arguments.end());
    line.parse(copy);
  } catch (const TCLAP::ExitException&) {
    return HelpShown{};
  } catch (const TCLAP::ArgException& problem) {
    return Error{ErrorKind::kInvalidArgument,
                 problem.error() + " " + problem.argId(), "see --help"};
  }
  auto value = Capture([&]() -> Result<T> { return read(); });
  if (!value.Ok()) {
    return value.GetError();
  }
  return std::move(value.Value());
}

}  // namespace

Parsed<CheckArguments> ParseCheck(std::span<const std::string> arguments) {
  TCLAP::CmdLine line("validate service documents", ' ', kVersion);
  JsonSwitch json(line);
  TCLAP::UnlabeledMultiArg<std::string> files("FILE", "service documents", true,
                                              "FILE", line);
  return Parse<CheckArguments>(
      line, arguments, [&]() -> Result<CheckArguments> {
        return CheckArguments{files.getValue(), json.json.getValue()};
      });
}

Parsed<PublishArguments> ParsePublish(std::span<const std::string> arguments) {
  TCLAP::CmdLine line("put service documents in force", ' ', kVersion);
  JsonSwitch json(line);
  TokenFile token(line);
  TCLAP::ValueArg<int> timeout("", "timeout", "seconds to wait for the outcome",
                               false, kDefaultTimeoutSeconds, "SECONDS", line);
  TCLAP::MultiArg<std::string> entries(
      "", "entry", "entry to wait for until it reports the document in force",
      false, "URL", line);
  TCLAP::SwitchArg dry_run("", "dry-run",
                           "show the difference from what is in force", line);
  TCLAP::ValueArg<std::int64_t> base(
      "", "base-revision",
      "the revision that the documents replace; -1: none. Without it, the one "
      "in force now",
      false, kNoRevision, "N", line);
  TCLAP::ValueArg<std::string> publisher(
      "", "publisher", "name of the publisher, shown to other operators", false,
      "operator", "NAME", line);
  TCLAP::ValueArg<std::string> log("", "log", "the log service", true, "",
                                   "URL", line);
  TCLAP::UnlabeledMultiArg<std::string> files("FILE", "service documents", true,
                                              "FILE", line);
  const auto read = [&]() -> Result<PublishArguments> {
    const int seconds = timeout.getValue();
    if (seconds < 1 || seconds > kMaxTimeoutSeconds) {
      return Fail(ErrorKind::kInvalidArgument, "--timeout is out of range",
                  "use 1 to " + std::to_string(kMaxTimeoutSeconds));
    }
    PublishArguments parsed;
    parsed.files = files.getValue();
    parsed.log_url = log.getValue();
    parsed.publisher = publisher.getValue();
    if (base.isSet()) {
      parsed.base_revision = base.getValue();
    }
    parsed.dry_run = dry_run.getValue();
    parsed.entries = entries.getValue();
    parsed.timeout = std::chrono::seconds(seconds);
    parsed.json = json.json.getValue();
    BOOST_LEAF_ASSIGN(parsed.token, token.Read());
    return parsed;
  };
  return Parse<PublishArguments>(line, arguments, read);
}

Parsed<StatusArguments> ParseStatus(std::span<const std::string> arguments) {
  TCLAP::CmdLine line("show the state of processes", ' ', kVersion);
  JsonSwitch json(line);
  TokenFile token(line);
  TCLAP::MultiArg<std::string> processes(
      "", "entry", "an entry or a sidecar; repeat for more", true, "URL", line);
  const auto read = [&]() -> Result<StatusArguments> {
    StatusArguments parsed;
    parsed.processes = processes.getValue();
    parsed.json = json.json.getValue();
    BOOST_LEAF_ASSIGN(parsed.token, token.Read());
    return parsed;
  };
  return Parse<StatusArguments>(line, arguments, read);
}

Parsed<TimelineArguments> ParseTimeline(
    std::span<const std::string> arguments) {
  TCLAP::CmdLine line("merge the timelines of processes", ' ', kVersion);
  JsonSwitch json(line);
  TokenFile token(line);
  std::vector<std::string> names = {"text", "chrome"};
  TCLAP::ValuesConstraint<std::string> formats(names);
  TCLAP::ValueArg<std::string> format(
      "", "format", "text, or Chrome trace events for a trace viewer", false,
      "text", &formats, line);
  const auto filter = [&line](const char* name, const char* help) {
    return TCLAP::ValueArg<std::string>("", name, help, false, "", "NAME",
                                        line);
  };
  auto service = filter("service", "only events of this service");
  auto server = filter("server", "only events at or about this instance");
  auto sample = filter("sample", "only events of this sample");
  auto step = filter("step", "only events of this step");
  auto request = filter("request", "only events of this request");
  TCLAP::MultiArg<std::string> processes(
      "", "from", "an entry or a sidecar; repeat for more", true, "URL", line);
  const auto read = [&]() -> Result<TimelineArguments> {
    TimelineArguments parsed;
    parsed.processes = processes.getValue();
    parsed.request = request.getValue();
    parsed.step = step.getValue();
    parsed.sample = sample.getValue();
    parsed.server = server.getValue();
    parsed.service = service.getValue();
    parsed.format = format.getValue() == "chrome" ? TimelineFormat::kChrome
                                                  : TimelineFormat::kText;
    parsed.json = json.json.getValue();
    BOOST_LEAF_ASSIGN(parsed.token, token.Read());
    return parsed;
  };
  return Parse<TimelineArguments>(line, arguments, read);
}

}  // namespace carobbank
