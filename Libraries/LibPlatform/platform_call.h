// What the HTTP adapters of the platform share: building a call, and telling
// from its ending what is certain about it.

#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "LibHTTP/http.h"
#include "LibPlatform/platform_client_options.h"

namespace carobbank {

// One service of the platform as the adapters see it.
struct PlatformEndpoint {
  HttpClient* client = nullptr;
  // Without a trailing slash.
  std::string base_url;
  PlatformClientOptions options;
};

// `extra_wait` is how long the service may hold the answer back on purpose.
HttpClientRequest BuildPlatformRequest(const PlatformEndpoint& endpoint,
                                       std::string_view method,
                                       std::string_view target,
                                       std::string body = "",
                                       Milliseconds extra_wait = {});

// RFC 3986, section 2.1: all but the unreserved characters.
std::string PercentEncode(std::string_view text);

// The error of a call without effects that ended with this status (not 200):
// kNotFound, kExpired, kOverloaded or kUnavailable.
Error QueryError(const HttpResponse& response, std::string_view what);

// The error of a call with an effect. kOverloaded (429), kUnavailable (503) and
// kInvalidArgument (other 4xx) mean certainly not done; all else is
// kOutcomeUnknown.
Error CommandError(const HttpResponse& response, std::string_view what);

// The exchange failed. A call without effects can simply be made again, so
// that for it kOutcomeUnknown becomes kUnavailable.
Error QueryFailure(const Error& error, std::string_view what);

// Fetches and parses the answer of a call without effects.
template <typename Value>
void Query(const PlatformEndpoint& endpoint,
           std::string_view target,
           std::string what,
           Result<Value> (*parse)(std::string_view),
           std::function<void(Outcome<Value>)> callback) {
  endpoint.client->Fetch(
      BuildPlatformRequest(endpoint, "GET", target),
      [what = std::move(what), parse,
       callback = std::move(callback)](Outcome<HttpResponse> outcome) {
        if (!outcome.Ok()) {
          callback(QueryFailure(outcome.GetError(), what));
          return;
        }
        const HttpResponse& response = outcome.Value();
        if (response.status != 200) {
          callback(QueryError(response, what));
          return;
        }
        callback(Capture([&] { return parse(response.body); }));
      });
}

}  // namespace carobbank
