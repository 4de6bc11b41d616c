// Entry points of the operators' subcommands, and their exit codes.

#pragma once

#include <span>
#include <string>
#include <string_view>

#include "LibOperator/environment.h"

namespace carobbank {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,   // a process or the log is unreachable; nothing was published
  kInvalid = 2,  // invalid arguments or an invalid file
  kRefused = 3,  // a document was refused, or superseded at once
  kUnknown = 4,  // the outcome is unknown; repeat the same command
  kNotYetEverywhere = 5,  // in force, but not yet at every named process
};

bool IsOperatorVerb(std::string_view subcommand);

// Runs `carobbank <subcommand> <arguments...>` and returns the process's exit
// code. `arguments` starts with the program's name for --help.
int OperatorMain(std::string_view subcommand,
                 std::span<const std::string> arguments);

// As OperatorMain(), with the given environment.
ExitCode RunVerb(std::string_view subcommand,
                 std::span<const std::string> arguments,
                 OperatorEnvironment& environment);

}  // namespace carobbank
