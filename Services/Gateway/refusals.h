// The gateway's own answers to callers that get no backend server's.

#pragma once

#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

// 503: not run and never will be. `retry_after` is sent in fractions of a
// second.
HttpResponse NotRunResponse(std::string_view code,
                            std::string_view detail,
                            Milliseconds retry_after);
// 502 or 504: it may have run.
HttpResponse MayHaveRunResponse(int status,
                                std::string_view code,
                                std::string_view detail);
// 4xx: wrong, and wrong when repeated.
HttpResponse ClientErrorResponse(int status,
                                 std::string_view code,
                                 std::string_view detail,
                                 std::string_view remedy);

}  // namespace carobbank
