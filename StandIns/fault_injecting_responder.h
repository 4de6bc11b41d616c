// Wraps an HttpResponder so that a stand-in can silence or abort the response
// independently of the request handler.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "LibHTTP/http.h"

namespace carobbank {

class FaultInjectingResponder final : public HttpResponder {
 public:
  FaultInjectingResponder(std::shared_ptr<HttpResponder> inner,
                          std::string peer)
      : inner(std::move(inner)), peer(std::move(peer)) {}

  const std::string& Peer() const { return this->peer; }

  // Stops all further sends; the connection stays open.
  void Silence() { this->silenced = true; }

  void Send(HttpResponse response) override {
    if (this->IsOpen()) {
      this->inner->Send(std::move(response));
    }
  }

  void Start(int status, HttpHeaders headers) override {
    if (this->IsOpen()) {
      this->inner->Start(status, std::move(headers));
    }
  }

  // `written` is never called for a chunk of a silenced response, as on a
  // stalled connection.
  void Write(std::string chunk, std::function<void(bool)> written) override {
    if (this->IsOpen()) {
      this->inner->Write(std::move(chunk), std::move(written));
    }
  }

  void Finish() override {
    if (this->IsOpen()) {
      this->inner->Finish();
    }
  }

  void Abort() override {
    if (!std::exchange(this->aborted, true)) {
      this->inner->Abort();
    }
  }

  void OnClosed(std::function<void()> closed) override {
    this->inner->OnClosed(std::move(closed));
  }

 private:
  bool IsOpen() const { return !this->silenced && !this->aborted; }

  std::shared_ptr<HttpResponder> inner;
  std::string peer;
  bool silenced = false;
  bool aborted = false;
};

}  // namespace carobbank
