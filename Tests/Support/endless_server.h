// A raw server whose responses don't end until the client closes.

#pragma once

#include <fcntl.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Support/raw_socket.h"

namespace carobbank {

struct EndlessResponse {
  const char* name;
  // Sent once, and then again and again.
  std::string beginning;
  std::string repeated;
};

// Sends one endless response to each connection's first request.
class EndlessServer {
 public:
  EndlessServer(EndlessResponse response, std::size_t bytes_per_call)
      : response(std::move(response)), bytes_per_call(bytes_per_call) {}

  std::uint16_t Port() const { return this->listener.Port(); }
  std::size_t Sent() const { return this->sent; }
  std::size_t Connections() const { return this->peers.size(); }
  bool AllClosed() const {
    return std::all_of(this->peers.begin(), this->peers.end(),
                       [](const Peer& peer) { return peer.closed; });
  }

  void Serve() {
    const int accepted = this->listener.Accept();
    if (accepted >= 0) {
      ::fcntl(accepted, F_SETFL, O_NONBLOCK);
      this->peers.push_back({RawConnection(accepted), ""});
    }
    for (Peer& peer : this->peers) {
      this->ServePeer(peer);
    }
  }

 private:
  struct Peer {
    RawConnection connection;
    // Bytes that the connection has not taken yet.
    std::string pending;
    bool begun = false;
    bool closed = false;
  };

  void ServePeer(Peer& peer) {
    if (peer.closed || !peer.connection.Contains("\r\n\r\n")) {
      peer.closed = peer.closed || peer.connection.Ended();
      return;
    }
    if (!std::exchange(peer.begun, true)) {
      peer.pending = this->response.beginning;
    }
    std::size_t budget = this->bytes_per_call;
    while (budget > 0 && !peer.closed) {
      while (peer.pending.size() < budget) {
        peer.pending += this->response.repeated;
      }
      const std::size_t taken = peer.connection.SendSome(
          std::string_view(peer.pending).substr(0, budget));
      peer.pending.erase(0, taken);
      this->sent += taken;
      budget -= taken;
      peer.closed = peer.connection.Ended();
      if (taken == 0) {
        return;
      }
    }
  }

  RawListener listener;
  EndlessResponse response;
  std::size_t bytes_per_call;
  std::vector<Peer> peers;
  std::size_t sent = 0;
};

}  // namespace carobbank
