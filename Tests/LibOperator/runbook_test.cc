// Tests that the program accepts every command of the runbook in
// docs/OPERATORS.md. Run from the repository's root.

#include <fstream>
#include <sstream>

#include "LibOperator/fake_environment.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::string_view kStart = "`carobbank ";

// The commands of one line, without their back quotes.
std::vector<std::string> CommandsOf(const std::string& line) {
  std::vector<std::string> commands;
  std::size_t position = line.find(kStart);
  while (position != std::string::npos) {
    const std::size_t end = line.find('`', position + 1);
    commands.push_back(line.substr(position + 1, end - position - 1));
    position = line.find(kStart, end);
  }
  return commands;
}

std::string WithValue(const std::string& word) {
  if (word == "FILE") {
    return "docs/examples/ruta-clara/coaching.yaml";
  }
  if (word == "$ENTRY" || word == "$LOG") {
    return "http://127.0.0.1:1";
  }
  return word;
}

}  // namespace

TEST_GROUP(Runbook){};

TEST(Runbook, EveryCommandIsAccepted) {
  std::ifstream page("docs/OPERATORS.md");
  bool in_runbook = false;
  int commands = 0;
  for (std::string line; std::getline(page, line);) {
    in_runbook = in_runbook || line == "## Runbook";
    if (!in_runbook) {
      continue;
    }
    for (const std::string& command : CommandsOf(line)) {
      std::istringstream words(command);
      std::vector<std::string> arguments;
      for (std::string word; words >> word;) {
        arguments.push_back(WithValue(word));
      }
      const std::string subcommand = arguments.at(1);
      arguments.erase(arguments.begin() + 1);
      FakeEnvironment environment;
      const ExitCode code = RunVerb(subcommand, arguments, environment);
      CHECK_TRUE_TEXT(code != ExitCode::kInvalid, command.c_str());
      ++commands;
    }
  }
  CHECK_TRUE(commands >= 8);
}

}  // namespace carobbank
