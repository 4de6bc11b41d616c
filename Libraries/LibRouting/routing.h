// Public header of LibRouting: choice of a backend server for each attempt,
// retries, quarantine of requests that crash servers, and scheduling of a
// step's samples. Pure: time and randomness are arguments.

#pragma once

#include "LibRouting/backend_choice.h"
#include "LibRouting/crash_quarantine.h"
#include "LibRouting/expected_end_placement.h"
#include "LibRouting/host_routes.h"
#include "LibRouting/idle_lower_bound.h"
#include "LibRouting/owed_work.h"
#include "LibRouting/quarantine_trials.h"
#include "LibRouting/request_crashes.h"
#include "LibRouting/retry_policy.h"
#include "LibRouting/router.h"
#include "LibRouting/server_crash_detector.h"
#include "LibRouting/server_paces.h"
#include "LibRouting/server_table.h"
#include "LibRouting/step_plan.h"
#include "LibRouting/work_estimator.h"
