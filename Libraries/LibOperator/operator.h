// Public header of LibOperator: the operators' subcommands of the program
// carobbank: check, publish, status and timeline.

#pragma once

#include "LibOperator/environment.h"
#include "LibOperator/operator_main.h"
#include "LibOperator/publisher.h"
#include "LibOperator/timeline_merge.h"
