// A raw server that sends the same bytes in response to each request.

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Support/raw_socket.h"

namespace carobbank {

class RawResponseServer {
 public:
  explicit RawResponseServer(std::string response)
      : response(std::move(response)) {}

  std::uint16_t Port() const { return this->listener.Port(); }
  std::size_t Requests() const { return this->requests; }

  // Accepts and serves without blocking. Call repeatedly from the test's loop.
  void Serve() {
    const int accepted = this->listener.Accept();
    if (accepted >= 0) {
      this->peers.push_back({RawConnection(accepted)});
    }
    for (Peer& peer : this->peers) {
      this->ServePeer(peer);
    }
  }

 private:
  struct Peer {
    RawConnection connection;
    // Received bytes that were served.
    std::size_t read = 0;
  };

  void ServePeer(Peer& peer) {
    const std::string& received = peer.connection.Received();
    const std::size_t end = received.find("\r\n\r\n", peer.read);
    if (end == std::string::npos) {
      return;
    }
    peer.read = end + 4;
    ++this->requests;
    peer.connection.Send(this->response);
  }

  RawListener listener;
  std::string response;
  std::vector<Peer> peers;
  std::size_t requests = 0;
};

}  // namespace carobbank
