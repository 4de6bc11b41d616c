// Calls JSON-RPC methods of other carobbank processes.

#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

class PeerCaller {
 public:
  PeerCaller(HttpClient& client,
             const Clock& clock,
             const PeerProofSigner& signer)
      : client(client), clock(clock), signer(signer) {}

  // `address`: "127.0.0.1:9001". Errors: kUnavailable when the peer was not
  // reached, else kOutcomeUnknown or what the peer answered.
  using Callback = std::function<void(Outcome<Json::Value>)>;
  void Call(std::string_view address,
            std::string method,
            Json::Value parameters,
            Milliseconds timeout,
            Callback callback);

 private:
  HttpClient& client;
  const Clock& clock;
  const PeerProofSigner& signer;
};

}  // namespace carobbank
