// The gateway's own responses to callers that receive no backend server's
// response.

#pragma once

#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

// 503: the request was not run and never will be. `retry_after` is sent in
// fractions of a second.
HttpResponse NotRunResponse(std::string_view code,
                            std::string_view detail,
                            Milliseconds retry_after);
// 503 of an instance that shuts down: another one can run the request at once.
HttpResponse ShutdownRefusal();
// 502 or 504: the request may have run.
HttpResponse MayHaveRunResponse(int status,
                                std::string_view code,
                                std::string_view detail);
// 4xx: the request is invalid, and a retry without changes fails too.
HttpResponse ClientErrorResponse(int status,
                                 std::string_view code,
                                 std::string_view detail,
                                 std::string_view remedy);

}  // namespace carobbank
