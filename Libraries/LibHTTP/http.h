// Public header of LibHTTP: an event loop, and an HTTP/1.1 server and client
// with streamed responses. RESTinio, Asio and libcurl are not exposed.

#pragma once

#include "LibHTTP/buffer_budget.h"
#include "LibHTTP/credentials.h"
#include "LibHTTP/event_loop.h"
#include "LibHTTP/http_client.h"
#include "LibHTTP/http_message.h"
#include "LibHTTP/http_server.h"
#include "LibHTTP/peer_proof.h"
#include "LibHTTP/server_sent_events.h"
