// The program `carobbank`: `run` starts the entry, `gateway` starts the gateway
// for a platform without sidecars, and the other subcommands are for operators.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibOperator/operator.h"
#include "entry.h"
#include "platform/gateway_main.h"

namespace carobbank {

namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalid = 2;

struct ServeArguments {
  std::string settings_path;
  bool check = false;
};

// Returns the exit status when the process must exit instead of serving.
std::optional<int> ParseServeArguments(
    const std::vector<std::string>& arguments,
    const std::string& title,
    ServeArguments& parsed) {
  try {
    TCLAP::CmdLine line(title, ' ', std::string(kVersion));
    TCLAP::ValueArg<std::string> settings_argument(
        "s", "settings",
        "YAML settings file (docs/OPERATORS.md); without it the environment's "
        "CAROBBANK_CONFIG names the file",
        false, "", "FILE", line);
    TCLAP::SwitchArg check_argument("c", "check",
                                    "validate the settings and exit", line);
    std::vector<std::string> copy = arguments;
    line.parse(copy);
    parsed = {settings_argument.getValue(), check_argument.getValue()};
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  if (parsed.settings_path.empty()) {
    const char* const named = std::getenv("CAROBBANK_CONFIG");
    parsed.settings_path = named == nullptr ? "" : named;
  }
  if (parsed.settings_path.empty()) {
    std::cerr << "no settings file; give --settings FILE or set "
                 "CAROBBANK_CONFIG\n";
    return kExitInvalid;
  }
  return std::nullopt;
}

int GatewayMain(const std::vector<std::string>& arguments) {
  ServeArguments parsed;
  if (const auto status = ParseServeArguments(
          arguments, "carobbank gateway: serve callers without sidecars",
          parsed)) {
    return *status;
  }
  auto settings = LoadGatewaySettings(parsed.settings_path);
  if (!settings.Ok()) {
    std::cerr << settings.report.Text() << "\n";
    return kExitInvalid;
  }
  if (parsed.check) {
    std::cout << parsed.settings_path << ": valid\n";
    return kExitOk;
  }
  StartLogging(settings.value.log, settings.value.instance);
  return RunGateway(std::move(settings.value));
}

int RunEntry(const std::vector<std::string>& arguments) {
  ServeArguments parsed;
  if (const auto status = ParseServeArguments(
          arguments, "carobbank run: serve callers as an entry instance",
          parsed)) {
    return *status;
  }
  auto settings = LoadEntrySettings(parsed.settings_path);
  if (!settings.Ok()) {
    std::cerr << settings.report.Text() << "\n";
    return kExitInvalid;
  }
  if (parsed.check) {
    std::cout << parsed.settings_path << ": valid\n";
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
               "       carobbank gateway --settings FILE [--check]\n"
               "       carobbank check|publish|status|timeline ...\n"
               "       carobbank SUBCOMMAND --help\n"
               "       carobbank --version\n";
  return kExitInvalid;
}

int Main(std::span<char*> arguments) {
  if (arguments.size() < 2) {
    return Usage();
  }
  const std::string_view subcommand = arguments[1];
  if (subcommand == "--version") {
    std::cout << "carobbank " << kVersion << "\n";
    return kExitOk;
  }
  if (subcommand == "--help") {
    Usage();
    return kExitOk;
  }
  std::vector<std::string> rest{"carobbank " + std::string(subcommand)};
  for (char* argument : arguments.subspan(2)) {
    rest.emplace_back(argument);
  }
  if (subcommand == "run") {
    return RunEntry(rest);
  }
  if (subcommand == "gateway") {
    return GatewayMain(rest);
  }
  if (IsOperatorVerb(subcommand)) {
    return OperatorMain(subcommand, rest);
  }
  return Usage();
}

}  // namespace

}  // namespace carobbank

int main(int argc, char** argv) {
  return carobbank::Main(std::span(argv, static_cast<std::size_t>(argc)));
}
