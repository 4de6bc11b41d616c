// Requests that gateways send each other.

#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

// A POST request with a JSON body to the gateway at `address` (host:port).
// `target`: path and query. `timeout` also bounds the time to connect.
HttpClientRequest MakePeerRequest(std::string_view address,
                                  std::string_view target,
                                  std::string json,
                                  Milliseconds timeout);

}  // namespace carobbank
