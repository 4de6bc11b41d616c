// Public header of LibScheduling: the queue before one backend server. Strict
// priority classes, weighted fair shares, limits, preemption and shedding.
// Pure: time is an argument, and the library uses no threads or sockets.

#pragma once

#include "LibScheduling/admission_queue.h"
#include "LibScheduling/batch_slowdown.h"
#include "LibScheduling/permit_home.h"
#include "LibScheduling/permit_schedule.h"
#include "LibScheduling/refused_calls.h"
#include "LibScheduling/request_rate.h"
#include "LibScheduling/scale_policy.h"
#include "LibScheduling/scheduler.h"
#include "LibScheduling/token_bucket.h"
#include "LibScheduling/work.h"
