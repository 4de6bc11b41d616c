// Public header of LibVersions: which weight versions a sample may come from,
// the version labels of its tokens, and the orders that make an engine load a
// version. Pure: time is an argument, and the library uses no threads or
// sockets.

#pragma once

#include "LibVersions/fleet_upgrade.h"
#include "LibVersions/lease_state.h"
#include "LibVersions/order_authority.h"
#include "LibVersions/order_state_machine.h"
#include "LibVersions/staleness.h"
#include "LibVersions/swap_plan.h"
#include "LibVersions/version_spans.h"
