// Public header of LibTimeline: typed events of one process in a bounded ring,
// merged by hybrid logical clock, and metrics with their Prometheus text.

#pragma once

#include "LibTimeline/event.h"
#include "LibTimeline/event_timeline.h"
#include "LibTimeline/metric_names.h"
#include "LibTimeline/metrics.h"
