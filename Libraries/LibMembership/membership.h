// Public header of LibMembership: instances, data centers, links, and the view
// of backend servers that merges the platform's delayed instance list with
// direct observations. Pure: time and randomness are arguments.

#pragma once

#include "LibMembership/data_center.h"
#include "LibMembership/fleet.h"
#include "LibMembership/instance.h"
#include "LibMembership/link.h"
#include "LibMembership/partition_owners.h"
#include "LibMembership/server_view.h"
#include "LibMembership/watched_subset.h"
