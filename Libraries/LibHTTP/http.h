// Public header of LibHTTP: an event loop, an HTTP/1.1 server that streams
// answers, and an HTTP client that streams them in. RESTinio, Asio and libcurl
// stay behind it.

#pragma once

#include "LibHTTP/event_loop.h"
#include "LibHTTP/http_client.h"
#include "LibHTTP/http_message.h"
#include "LibHTTP/http_server.h"
#include "LibHTTP/peer_proof.h"
#include "LibHTTP/server_sent_events.h"
