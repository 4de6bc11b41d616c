// Shared by the HTTP adapters of the platform: building a request, and mapping
// its ending to an error that states what is certain about its effect.

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

// `long_poll_wait`: how long the service may hold the response back by design;
// extends the timeout.
HttpClientRequest BuildPlatformRequest(const PlatformEndpoint& endpoint,
                                       std::string_view method,
                                       std::string_view target,
                                       std::string body = "",
                                       Milliseconds long_poll_wait = {});

// The error of a read-only call whose response has another status than 200:
// kNotFound, kExpired, kOverloaded or kUnavailable. `subject` names the service
// or the operation in the message, here and below.
Error QueryErrorFromResponse(const HttpResponse& response,
                             std::string_view subject);

// The error of a call with an effect. kOverloaded (429), kUnavailable (503) and
// kInvalidArgument (other 4xx, except 408) mean that the call had no effect;
// any other status is kOutcomeUnknown.
Error CommandErrorFromResponse(const HttpResponse& response,
                               std::string_view subject);

// The error of a read-only call that got no response. Since the call is safe to
// repeat, kOutcomeUnknown becomes kUnavailable.
Error QueryErrorFromTransport(const Error& error, std::string_view subject);

// Makes a read-only call and parses its response.
template <typename Value>
void Query(const PlatformEndpoint& endpoint,
           std::string_view target,
           std::string subject,
           Result<Value> (*parse)(std::string_view),
           std::function<void(Outcome<Value>)> callback) {
  endpoint.client->Fetch(
      BuildPlatformRequest(endpoint, "GET", target),
      [subject = std::move(subject), parse,
       callback = std::move(callback)](Outcome<HttpResponse> outcome) {
        if (!outcome.Ok()) {
          callback(QueryErrorFromTransport(outcome.GetError(), subject));
          return;
        }
        const HttpResponse& response = outcome.Value();
        if (response.status != 200) {
          callback(QueryErrorFromResponse(response, subject));
          return;
        }
        callback(Capture([&] { return parse(response.body); }));
      });
}

}  // namespace carobbank
