// Looks up a subcommand by name and runs it.

#include "LibOperator/operator_main.h"

#include <array>
#include <ostream>

#include "LibOperator/verbs.h"

namespace carobbank {

namespace {

using SubcommandFunction = ExitCode (*)(std::span<const std::string> arguments,
                                        OperatorEnvironment& environment);

template <typename T>
ExitCode ParseAndRun(std::span<const std::string> arguments,
                     OperatorEnvironment& environment,
                     Parsed<T> (*parse)(std::span<const std::string>),
                     ExitCode (*run)(const T&, OperatorEnvironment&)) {
  const Parsed<T> parsed = parse(arguments);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    environment.Progress() << arguments.front() << ": " << error->Text()
                           << "\n";
    return ExitCode::kInvalid;
  }
  if (std::holds_alternative<HelpShown>(parsed)) {
    return ExitCode::kOk;
  }
  return run(std::get<T>(parsed), environment);
}

ExitCode Check(std::span<const std::string> arguments,
               OperatorEnvironment& environment) {
  return ParseAndRun(arguments, environment, &ParseCheck, &RunCheck);
}

ExitCode Publish(std::span<const std::string> arguments,
                 OperatorEnvironment& environment) {
  return ParseAndRun(arguments, environment, &ParsePublish, &RunPublish);
}

ExitCode Status(std::span<const std::string> arguments,
                OperatorEnvironment& environment) {
  return ParseAndRun(arguments, environment, &ParseStatus, &RunStatus);
}

ExitCode Timeline(std::span<const std::string> arguments,
                  OperatorEnvironment& environment) {
  return ParseAndRun(arguments, environment, &ParseTimeline, &RunTimeline);
}

struct Subcommand {
  std::string_view name;
  SubcommandFunction function;
};

constexpr std::array kSubcommands = {
    Subcommand{"check", &Check},
    Subcommand{"publish", &Publish},
    Subcommand{"status", &Status},
    Subcommand{"timeline", &Timeline},
};

const Subcommand* FindSubcommand(std::string_view name) {
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name == name) {
      return &subcommand;
    }
  }
  return nullptr;
}

}  // namespace

bool IsOperatorVerb(std::string_view subcommand) {
  return FindSubcommand(subcommand) != nullptr;
}

ExitCode RunVerb(std::string_view subcommand,
                 std::span<const std::string> arguments,
                 OperatorEnvironment& environment) {
  const Subcommand* found = FindSubcommand(subcommand);
  if (found == nullptr || arguments.empty()) {
    environment.Progress() << "unknown subcommand '" << subcommand
                           << "'; use check, publish, status or timeline\n";
    return ExitCode::kInvalid;
  }
  return found->function(arguments, environment);
}

int OperatorMain(std::string_view subcommand,
                 std::span<const std::string> arguments) {
  const auto environment = CreateSystemEnvironment();
  return static_cast<int>(RunVerb(subcommand, arguments, *environment));
}

}  // namespace carobbank
