// HttpClient: starts transfers, owns them until they end, and collects
// responses for Fetch().

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

// Owned by the client. Exchange handles hold weak references, because they may
// outlive the client.
class ClientCore : public std::enable_shared_from_this<ClientCore> {
 public:
  ClientCore(asio::io_context& context, HttpClientOptions options)
      : context(context),
        on_limit_exceeded(options.on_limit_exceeded),
        multi(context,
              options,
              {.done =
                   [this](CURL* easy, CURLcode result) {
                     this->OnTransferDone(easy, result);
                   },
               .empty_read = [this](CURL* easy) { this->OnEmptyRead(easy); },
               .deliver = [this](CURL* easy) { this->OnDelivery(easy); }}) {}

  std::shared_ptr<ClientTransfer> Start(HttpClientRequest request,
                                        HttpClientHandlers handlers) {
    auto transfer = std::make_shared<ClientTransfer>(
        this->context, this->multi, std::move(request), std::move(handlers),
        [this](ClientTransfer& expired) { this->OnIdleTimeout(expired); });
    if (std::optional<Error> error = transfer->Configure()) {
      // Reported from the loop, like every other completion.
      asio::post(this->context, [transfer, error = std::move(*error)] {
        if (!transfer->Cancelled()) {
          transfer->Fail(SendState::kNotSent, error);
        }
      });
      return transfer;
    }
    this->transfers[transfer->Easy()] = transfer;
    transfer->StartIdleTimer();
    // Added from the loop: a failure must not call back before Start() returns,
    // and libcurl can't add a transfer inside its callbacks.
    asio::post(this->context, [weak = this->weak_from_this(), transfer] {
      const auto self = weak.lock();
      if (self && !transfer->Cancelled()) {
        self->multi.Add(transfer->Easy());
      }
    });
    return transfer;
  }

  // Cancels and removes a transfer. Safe inside libcurl's callbacks.
  void Release(const std::shared_ptr<ClientTransfer>& transfer) {
    transfer->Cancel();
    if (this->multi.InLibcurlCall()) {
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
      transfer->ReleaseHandlers();
    }
  }

 private:
  void Remove(const std::shared_ptr<ClientTransfer>& transfer) {
    if (this->transfers.erase(transfer->Easy()) > 0) {
      this->multi.Remove(transfer->Easy());
    }
    if (transfer->Cancelled()) {
      transfer->ReleaseHandlers();
    }
  }

  void OnIdleTimeout(ClientTransfer& transfer) {
    const std::shared_ptr<ClientTransfer> owned = transfer.shared_from_this();
    this->Remove(owned);
    owned->Complete(CURLE_OPERATION_TIMEDOUT);
  }

  void OnTransferDone(CURL* easy, CURLcode result) {
    const auto found = this->transfers.find(easy);
    if (found == this->transfers.end()) {
      return;
    }
    const std::shared_ptr<ClientTransfer> transfer = found->second;
    this->Remove(transfer);
    this->Complete(*transfer, result);
  }

  void OnDelivery(CURL* easy) {
    const auto found = this->transfers.find(easy);
    if (found != this->transfers.end()) {
      const std::shared_ptr<ClientTransfer> transfer = found->second;
      transfer->DeliverBody();
    }
  }

  void OnEmptyRead(CURL* easy) {
    const auto found = this->transfers.find(easy);
    if (found == this->transfers.end() || !found->second->CountEmptyRead()) {
      return;
    }
    const std::shared_ptr<ClientTransfer> transfer = found->second;
    this->Remove(transfer);
    this->Complete(*transfer, CURLE_WRITE_ERROR);
  }

  void Complete(ClientTransfer& transfer, CURLcode result) const {
    const auto exceeded = transfer.ExceededLimit(result);
    if (exceeded && this->on_limit_exceeded) {
      this->on_limit_exceeded(*exceeded);
    }
    transfer.Complete(result);
  }

  asio::io_context& context;
  std::function<void(const ResponseLimitExceeded&)> on_limit_exceeded;
  CurlMulti multi;
  // Invariant: every handle that was added to `multi` has an entry here.
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
  std::optional<MonotonicTime> ConnectedAt() const override {
    return this->core.expired() ? std::nullopt : this->transfer->ConnectedAt();
  }

 private:
  std::weak_ptr<ClientCore> core;
  std::shared_ptr<ClientTransfer> transfer;
};

class CurlClient final : public HttpClient {
 public:
  CurlClient(asio::io_context& context, const HttpClientOptions& options)
      : HttpClient(options),
        core(std::make_shared<ClientCore>(context, options)) {}
  ~CurlClient() override { this->core->Shutdown(); }

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override {
    return std::make_unique<CurlExchange>(
        this->core, this->core->Start(std::move(request), std::move(handlers)));
  }

 private:
  std::shared_ptr<ClientCore> core;
};

// A Fetch() in progress. The exchange's handlers own the state and the state
// owns the exchange. Complete(), called on success and failure, breaks that
// cycle.
struct FetchState {
  explicit FetchState(std::shared_ptr<BufferBudget> budget)
      : body(std::move(budget)) {}

  std::unique_ptr<HttpExchange> exchange;
  HttpResponse response;
  BufferedBody body;
  HttpClient::FetchCallback callback;

  void Complete(Outcome<HttpResponse> outcome) {
    const auto report = std::move(this->callback);
    this->callback = nullptr;
    const auto finished = std::move(this->exchange);
    report(std::move(outcome));
  }
};

}  // namespace

std::string_view ResponseLimitName(ResponseLimit limit) {
  switch (limit) {
    case ResponseLimit::kHeader:
      return "header";
    case ResponseLimit::kBody:
      return "body";
    case ResponseLimit::kMemory:
      return "memory";
    case ResponseLimit::kFraming:
      return "framing";
  }
  return "";
}

std::unique_ptr<HttpClient> HttpClient::Create(EventLoop& loop,
                                               HttpClientOptions options) {
  return std::make_unique<CurlClient>(loop.GetImplementation().context,
                                      options);
}

void HttpClient::Fetch(HttpClientRequest request, FetchCallback callback) {
  auto state = std::make_shared<FetchState>(this->budget);
  state->callback = std::move(callback);
  HttpClientHandlers handlers;
  handlers.on_headers = [state](int status, const HttpHeaders& headers) {
    state->response.status = status;
    state->response.headers = headers;
  };
  handlers.on_body = [this, state,
                      url = request.url.substr(0, request.url.find('?'))](
                         std::string_view bytes) {
    if (!state->callback || state->body.Append(bytes)) {
      return;
    }
    this->ReportLimit({url, ResponseLimit::kMemory});
    state->Complete(Error{
        ErrorKind::kOutcomeUnknown,
        url + ": the responses in memory reached the limit of this process",
        "send fewer or smaller requests at once"});
  };
  handlers.on_done = [state] {
    state->response.body = state->body.Take();
    state->Complete(std::move(state->response));
  };
  handlers.on_failure = [state](const HttpClientFailure& failure) {
    state->Complete(failure.error);
  };
  state->exchange = this->Start(std::move(request), std::move(handlers));
}

}  // namespace carobbank
