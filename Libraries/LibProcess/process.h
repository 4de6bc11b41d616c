// Public header of LibProcess: what the entry and the sidecar have in common as
// processes: log lines, calls to peers, and server options from the settings.

#pragma once

#include "LibProcess/http_options.h"
#include "LibProcess/http_peer_rpc_client.h"
#include "LibProcess/logger.h"
#include "LibProcess/peer_rpc_client.h"
