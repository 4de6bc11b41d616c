// Public header of LibScheduling: the queue before one backend server. Strict
// classes, weighted fair shares, limits, preemption and shedding. Pure: time is
// an argument, and nothing here touches a thread or a socket.

#pragma once

#include "LibScheduling/batch_slowdown.h"
#include "LibScheduling/scheduler.h"
#include "LibScheduling/token_bucket.h"
#include "LibScheduling/work.h"
