// One function for each subcommand. Private to LibOperator.

#pragma once

#include "LibOperator/environment.h"
#include "LibOperator/operator_main.h"
#include "LibOperator/verb_arguments.h"

namespace carobbank {

ExitCode RunCheck(const CheckArguments& arguments,
                  OperatorEnvironment& environment);
ExitCode RunPublish(const PublishArguments& arguments,
                    OperatorEnvironment& environment);
ExitCode RunStatus(const StatusArguments& arguments,
                   OperatorEnvironment& environment);
ExitCode RunTimeline(const TimelineArguments& arguments,
                     OperatorEnvironment& environment);

}  // namespace carobbank
