// Public header of LibPlatform: the platform's services, behind interfaces with
// one HTTP adapter each. docs/PLATFORM.md states what the adapters assume.

#pragma once

#include "LibPlatform/engine_control.h"
#include "LibPlatform/instance_list.h"
#include "LibPlatform/log_client.h"
#include "LibPlatform/partitioned_log.h"
#include "LibPlatform/platform_client_options.h"
#include "LibPlatform/platform_parsers.h"
#include "LibPlatform/weight_store.h"
