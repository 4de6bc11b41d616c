// From a verb's name to its function.

#include "LibOperator/operator_main.h"

#include <array>
#include <ostream>

#include "LibOperator/verbs.h"

namespace carobbank {

namespace {

using VerbFunction = ExitCode (*)(std::span<const std::string> arguments,
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

struct Verb {
  std::string_view name;
  VerbFunction function;
};

constexpr std::array kVerbs = {
    Verb{"check", &Check},
    Verb{"publish", &Publish},
    Verb{"status", &Status},
    Verb{"timeline", &Timeline},
};

const Verb* FindVerb(std::string_view name) {
  for (const Verb& verb : kVerbs) {
    if (verb.name == name) {
      return &verb;
    }
  }
  return nullptr;
}

}  // namespace

bool IsOperatorVerb(std::string_view verb) {
  return FindVerb(verb) != nullptr;
}

ExitCode RunVerb(std::string_view verb,
                 std::span<const std::string> arguments,
                 OperatorEnvironment& environment) {
  const Verb* found = FindVerb(verb);
  if (found == nullptr || arguments.empty()) {
    environment.Progress() << "unknown verb '" << verb
                           << "'; use check, publish, status or timeline\n";
    return ExitCode::kInvalid;
  }
  return found->function(arguments, environment);
}

int OperatorMain(std::string_view verb,
                 std::span<const std::string> arguments) {
  const auto environment = CreateSystemEnvironment();
  return static_cast<int>(RunVerb(verb, arguments, *environment));
}

}  // namespace carobbank
