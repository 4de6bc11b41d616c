// The refusals that a connection sends by itself when a request can't be read.

#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/http_message.h"
#include "LibHTTP/http_server.h"

namespace carobbank {

// 413, 414, 431 or 400 for the text of RESTinio's parser error.
Problem RefusalForParserError(std::string_view parser_error,
                              const HttpServerOptions& options);
// 431: the head as a whole is too long.
Problem RefusalForLongHead(const HttpServerOptions& options);
// 408: the request did not arrive in time.
Problem RefusalForReadTimeout(const HttpServerOptions& options);

// The whole answer as bytes, with "Connection: close".
std::string RefusalText(const Problem& problem);

}  // namespace carobbank
