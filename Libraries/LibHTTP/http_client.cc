// HttpClient: starts transfers, keeps them until they end, reads whole answers.

#include "LibHTTP/http_client.h"

#include <asio/post.hpp>

#include <unordered_map>
#include <utility>
#include <vector>

#include "LibHTTP/client_transfer.h"
#include "LibHTTP/curl_multi.h"
#include "LibHTTP/event_loop_implementation.h"

namespace carobbank {

namespace {

// Shared by the client and the exchange handles, which may outlive it.
class ClientCore : public std::enable_shared_from_this<ClientCore> {
 public:
  ClientCore(asio::io_context& context, HttpClientOptions options)
      : context(context),
        multi(context, options, [this](CURL* easy, CURLcode result) {
          this->TransferDone(easy, result);
        }) {}

  std::shared_ptr<ClientTransfer> Start(HttpClientRequest request,
                                        HttpClientHandlers handlers) {
    auto transfer = std::make_shared<ClientTransfer>(
        this->context, this->multi, std::move(request), std::move(handlers),
        [this](ClientTransfer& expired) { this->Expire(expired); });
    if (std::optional<Error> error = transfer->Configure()) {
      // Reported from the loop, like every other end.
      asio::post(this->context, [transfer, error = std::move(*error)] {
        if (!transfer->Cancelled()) {
          transfer->Fail(SendState::kNotSent, error);
        }
      });
      return transfer;
    }
    this->transfers[transfer->Easy()] = transfer;
    transfer->StartIdleTimer();
    // From the loop: a failure must not call back before Start() returned, and
    // libcurl can't take a new transfer inside its callbacks.
    asio::post(this->context, [weak = this->weak_from_this(), transfer] {
      const auto self = weak.lock();
      if (self && !transfer->Cancelled()) {
        self->multi.Add(transfer->Easy());
      }
    });
    return transfer;
  }

  // Forgets a transfer; safe inside libcurl's callbacks.
  void Release(const std::shared_ptr<ClientTransfer>& transfer) {
    transfer->Cancel();
    if (this->multi.Running()) {
      asio::post(this->context, [weak = this->weak_from_this(), transfer] {
        if (const auto self = weak.lock()) {
          self->Remove(transfer);
        }
      });
      return;
    }
    this->Remove(transfer);
  }

  void Shutdown() {
    const auto all = std::exchange(this->transfers, {});
    for (const auto& [easy, transfer] : all) {
      transfer->Cancel();
      this->multi.Remove(easy);
      transfer->DropHandlers();
    }
  }

 private:
  void Remove(const std::shared_ptr<ClientTransfer>& transfer) {
    if (this->transfers.erase(transfer->Easy()) > 0) {
      this->multi.Remove(transfer->Easy());
    }
    if (transfer->Cancelled()) {
      transfer->DropHandlers();
    }
  }

  void Expire(ClientTransfer& transfer) {
    const std::shared_ptr<ClientTransfer> kept = transfer.shared_from_this();
    this->Remove(kept);
    kept->Complete(CURLE_OPERATION_TIMEDOUT);
  }

  void TransferDone(CURL* easy, CURLcode result) {
    const auto found = this->transfers.find(easy);
    if (found == this->transfers.end()) {
      return;
    }
    const std::shared_ptr<ClientTransfer> transfer = found->second;
    this->Remove(transfer);
    transfer->Complete(result);
  }

  asio::io_context& context;
  CurlMulti multi;
  // Invariant: a handle is added to `multi` only while it is listed here.
  std::unordered_map<CURL*, std::shared_ptr<ClientTransfer>> transfers;
};

class CurlExchange final : public HttpExchange {
 public:
  CurlExchange(std::weak_ptr<ClientCore> core,
               std::shared_ptr<ClientTransfer> transfer)
      : core(std::move(core)), transfer(std::move(transfer)) {}

  ~CurlExchange() override {
    if (const auto client = this->core.lock()) {
      client->Release(this->transfer);
    }
  }

  void Pause() override { this->transfer->Pause(); }
  void Resume() override { this->transfer->Resume(); }

 private:
  std::weak_ptr<ClientCore> core;
  std::shared_ptr<ClientTransfer> transfer;
};

class CurlClient final : public HttpClient {
 public:
  CurlClient(asio::io_context& context, HttpClientOptions options)
      : core(std::make_shared<ClientCore>(context, options)) {}
  ~CurlClient() override { this->core->Shutdown(); }

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    return std::make_unique<CurlExchange>(
        this->core, this->core->Start(std::move(request), std::move(handlers)));
  }

 private:
  std::shared_ptr<ClientCore> core;
};

// A Fetch() in progress. The exchange's handlers own it and it owns the
// exchange; the end of the exchange, whichever it is, breaks that cycle.
struct FetchState {
  std::unique_ptr<HttpExchange> exchange;
  HttpResponse response;
  std::size_t max_body_bytes = 0;
  HttpClient::FetchCallback callback;

  void End(Outcome<HttpResponse> outcome) {
    const auto report = std::move(this->callback);
    this->callback = nullptr;
    const auto finished = std::move(this->exchange);
    report(std::move(outcome));
  }
};

void TakeBody(FetchState& state, std::string_view bytes) {
  if (!state.callback) {
    return;
  }
  if (state.response.body.size() + bytes.size() > state.max_body_bytes) {
    state.End(Error{ErrorKind::kOutcomeUnknown,
                    "the answer is longer than " +
                        std::to_string(state.max_body_bytes) + " bytes",
                    "ask for less, or raise the limit"});
    return;
  }
  state.response.body.append(bytes);
}

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(EventLoop& loop,
                                               HttpClientOptions options) {
  return std::make_unique<CurlClient>(loop.GetImplementation().context,
                                      options);
}

void HttpClient::Fetch(HttpClientRequest request, FetchCallback callback) {
  auto state = std::make_shared<FetchState>();
  state->max_body_bytes = request.max_body_bytes;
  state->callback = std::move(callback);
  HttpClientHandlers handlers;
  handlers.on_headers = [state](int status, const HttpHeaders& headers) {
    state->response.status = status;
    state->response.headers = headers;
  };
  handlers.on_body = [state](std::string_view bytes) {
    TakeBody(*state, bytes);
  };
  handlers.on_done = [state] { state->End(std::move(state->response)); };
  handlers.on_failure = [state](const HttpClientFailure& failure) {
    state->End(failure.error);
  };
  state->exchange = this->Start(std::move(request), std::move(handlers));
}

}  // namespace carobbank
