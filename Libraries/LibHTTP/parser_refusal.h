// Error responses that a connection sends when a request can't be read.

#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/http_message.h"
#include "LibHTTP/http_server.h"

namespace carobbank {

// 413, 414, 431 or 400, depending on RESTinio's parser error.
Problem RefusalForParserError(std::string_view parser_error,
                              const HttpServerOptions& options);
// 431: the header section is too long.
Problem RefusalForLongHeaderSection(const HttpServerOptions& options);
// 408: the request was not complete within the read timeout.
Problem RefusalForReadTimeout(const HttpServerOptions& options);

// The serialized HTTP response, with "Connection: close".
std::string SerializeRefusal(const Problem& problem);

}  // namespace carobbank
