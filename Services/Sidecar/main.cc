// The program `carobbank-sidecar`: runs beside one backend server.

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>

#include "LibProcess/process.h"
#include "Sidecar/sidecar_process.h"

namespace carobbank {

namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalid = 2;

int RunSidecar(const std::string& path, bool only_check) {
  ValidationResult<SidecarSettings> settings = LoadSidecarSettings(path);
  if (!settings.Ok()) {
    std::cerr << settings.report.Text() << "\n";
    return kExitInvalid;
  }
  if (only_check) {
    std::cout << path << ": valid\n";
    return kExitOk;
  }
  StartLogging(settings.value.log, settings.value.place.instance);
  const auto process = Capture(
      [&] { return SidecarProcess::Create(std::move(settings.value)); });
  if (!process.Ok()) {
    WriteLog(LogLevel::kError, "sidecar not started",
             {{"error", process.GetError().Text()}});
    return kExitFailed;
  }
  process.Value()->Run();
  return kExitOk;
}

int Main(int argument_count, char** arguments) {
  try {
    TCLAP::CmdLine line(
        "carobbank-sidecar: admits and schedules requests for one backend "
        "server",
        ' ', std::string(kVersion));
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "YAML settings file (docs/OPERATORS.md)", true, "",
        "FILE", line);
    TCLAP::SwitchArg check("c", "check", "validate the settings and exit",
                           line);
    line.setExceptionHandling(false);
    line.parse(argument_count, arguments);
    return RunSidecar(settings.getValue(), check.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << "carobbank-sidecar: " << problem.error() << " "
              << problem.argId() << "; see --help\n";
    return kExitInvalid;
  }
}

}  // namespace

}  // namespace carobbank

int main(int argc, char** argv) {
  return carobbank::Main(argc, argv);
}
