// Sends signed RPC requests to peers and converts their responses.

#include "LibProcess/http_peer_rpc_client.h"

#include <utility>

#include "LibRPC/rpc.h"

namespace carobbank {

namespace {

constexpr std::string_view kRpcPath = "/rpc";
constexpr Milliseconds kConnectTimeout{1'000};
// A peer's state grows with the number of servers.
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;
constexpr int kStatusOk = 200;

Outcome<Json::Value> ToRpcResult(const HttpResponse& response) {
  if (response.status != kStatusOk) {
    return Error{
        ErrorKind::kUnavailable,
        "the peer responded with status " + std::to_string(response.status),
        "use the same peer secret in the settings of both processes"};
  }
  const RpcOutcome outcome = ParseRpcResponse(response.body);
  if (!outcome.Ok()) {
    return Error{ErrorKind::kCorrupt, outcome.Error().message,
                 "check that both processes run compatible versions"};
  }
  return outcome.Value();
}

}  // namespace

void HttpPeerRpcClient::Call(std::string_view address,
                             std::string_view method,
                             Json::Value parameters,
                             Milliseconds timeout,
                             Callback callback) {
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + std::string(address) + std::string(kRpcPath);
  request.body = ComposeRpcRequest(std::string(method), parameters);
  request.timeout = timeout;
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = kMaxResponseBytes;
  SetHeader(request.headers, "Content-Type", "application/json");
  SetHeader(request.headers, "X-Carobbank-Time", this->timeline.Stamp().Text());
  SetHeader(request.headers, kPeerProofHeader,
            this->signer.Sign({request.method, kRpcPath, request.body},
                              this->clock.WallNow()));
  this->client.Fetch(
      std::move(request),
      [callback = std::move(callback)](const Outcome<HttpResponse>& response) {
        if (!response.Ok()) {
          callback(response.GetError());
          return;
        }
        callback(ToRpcResult(response.Value()));
      });
}

}  // namespace carobbank
