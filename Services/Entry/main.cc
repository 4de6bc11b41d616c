// The program `carobbank`: `run` is the entry, the other verbs are the
// operator's.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>
#include <span>
#include <string>
#include <vector>

#include "LibOperator/operator.h"
#include "entry.h"

namespace carobbank {

namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalid = 2;

int RunEntry(const std::vector<std::string>& arguments) {
  std::string path;
  bool check = false;
  try {
    TCLAP::CmdLine line("carobbank run: serve callers as an entry instance",
                        ' ', std::string(kVersion));
    TCLAP::ValueArg<std::string> settings_argument(
        "s", "settings", "YAML settings file (docs/OPERATORS.md)", true, "",
        "FILE", line);
    TCLAP::SwitchArg check_argument("c", "check",
                                    "validate the settings and exit", line);
    std::vector<std::string> copy = arguments;
    line.parse(copy);
    path = settings_argument.getValue();
    check = check_argument.getValue();
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  auto settings = LoadEntrySettings(path);
  if (!settings.Ok()) {
    std::cerr << settings.report.Text() << "\n";
    return kExitInvalid;
  }
  if (check) {
    std::cout << path << ": valid\n";
    return kExitOk;
  }
  StartLogging(settings.value.log, settings.value.place.instance);
  auto entry =
      Capture([&] { return Entry::Create(std::move(settings.value)); });
  if (!entry.Ok()) {
    WriteLog(LogLevel::kError, "entry not started",
             {{"error", entry.GetError().Text()}});
    return kExitFailed;
  }
  entry.Value()->Run();
  return kExitOk;
}

int Usage() {
  std::cerr << "usage: carobbank run --settings FILE [--check]\n"
               "       carobbank check|publish|status|timeline ...\n"
               "       carobbank VERB --help\n"
               "       carobbank --version\n";
  return kExitInvalid;
}

int Main(std::span<char*> arguments) {
  if (arguments.size() < 2) {
    return Usage();
  }
  const std::string_view verb = arguments[1];
  if (verb == "--version") {
    std::cout << "carobbank " << kVersion << "\n";
    return kExitOk;
  }
  if (verb == "--help") {
    Usage();
    return kExitOk;
  }
  std::vector<std::string> rest{"carobbank " + std::string(verb)};
  for (char* argument : arguments.subspan(2)) {
    rest.emplace_back(argument);
  }
  if (verb == "run") {
    return RunEntry(rest);
  }
  if (IsOperatorVerb(verb)) {
    return OperatorMain(verb, rest);
  }
  return Usage();
}

}  // namespace

}  // namespace carobbank

int main(int argc, char** argv) {
  return carobbank::Main(std::span(argv, static_cast<std::size_t>(argc)));
}
