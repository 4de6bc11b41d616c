// JSON-RPC over signed HTTP requests.

#pragma once

#include "LibProcess/peer_rpc_client.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

class HttpPeerRpcClient final : public PeerRpcClient {
 public:
  HttpPeerRpcClient(HttpClient& client,
                    const Clock& clock,
                    const PeerProofSigner& signer,
                    EventTimeline& timeline)
      : client(client), clock(clock), signer(signer), timeline(timeline) {}

  void Call(std::string_view address,
            std::string_view method,
            Json::Value parameters,
            Milliseconds timeout,
            Callback callback) override;

 private:
  HttpClient& client;
  const Clock& clock;
  const PeerProofSigner& signer;
  EventTimeline& timeline;
};

}  // namespace carobbank
