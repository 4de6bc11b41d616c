// Calls JSON-RPC methods of other processes of the system.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"

namespace carobbank {

class PeerRpcClient {
 public:
  virtual ~PeerRpcClient() = default;

  // `address`: "127.0.0.1:9001". Errors: kUnavailable when nothing was sent or
  // the response's status is not 200, kOutcomeUnknown when the response is
  // missing or incomplete, kCorrupt when it is an RPC error or malformed.
  using Callback = std::function<void(Outcome<Json::Value>)>;
  virtual void Call(std::string_view address,
                    std::string_view method,
                    Json::Value parameters,
                    Milliseconds timeout,
                    Callback callback) = 0;
};

}  // namespace carobbank
