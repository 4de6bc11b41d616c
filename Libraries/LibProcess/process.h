// Public header of LibProcess: parts shared by the entry and the sidecar
// processes: logging, the peer RPC client, and HTTP options from the settings.

#pragma once

#include "LibProcess/http_options.h"
#include "LibProcess/http_peer_rpc_client.h"
#include "LibProcess/logger.h"
#include "LibProcess/peer_rpc_client.h"
