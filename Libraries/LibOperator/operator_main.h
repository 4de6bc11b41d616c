// Dispatch of the operators' verbs.

#pragma once

#include <span>
#include <string>
#include <string_view>

#include "LibOperator/environment.h"

namespace carobbank {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,   // something could not be reached; nothing was published
  kInvalid = 2,  // the arguments or a file are wrong
  kRefused = 3,  // a document was refused, or superseded at once
  kUnknown = 4,  // the outcome is not known; repeat the same command
  kNotYet = 5,   // in force, but not yet at every named process
};

bool IsOperatorVerb(std::string_view verb);

// Runs `carobbank <verb> <arguments...>` and returns the process's exit code.
// `arguments` starts with the program's name for --help.
int OperatorMain(std::string_view verb, std::span<const std::string> arguments);

// The same against any environment.
ExitCode RunVerb(std::string_view verb,
                 std::span<const std::string> arguments,
                 OperatorEnvironment& environment);

}  // namespace carobbank
