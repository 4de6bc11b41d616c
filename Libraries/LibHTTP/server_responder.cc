// Sends complete and streamed responses, and ends those that a handler aborts
// or leaves unfinished.

#include "LibHTTP/server_responder.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include "LibHTTP/status_phrase.h"

namespace carobbank {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// The server sets the framing headers; those from the handler are ignored.
constexpr std::array<std::string_view, 4> kFramingHeaders = {
    "connection", "content-length", "transfer-encoding", "keep-alive"};

bool IsFramingHeader(std::string_view name) {
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [name](std::string_view framing) {
                       return HeaderNamesEqual(name, framing);
                     });
}

// Prevents header injection through line breaks in a value (RFC 9110,
// section 5.5).
std::string WithoutLineBreaks(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char letter) {
        return letter == '\r' || letter == '\n' || letter == '\0';
      },
      ' ');
  return text;
}

restinio::http_status_line_t StatusLine(int status) {
  return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
          std::string(StatusPhrase(status))};
}

Problem NoResponseProblem() {
  Problem problem;
  problem.status = 500;
  problem.code = "no_answer";
  problem.detail = "the request's handler ended without a response";
  problem.remedy = "report this as a defect, with the request's id";
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

Problem Http10StreamingProblem() {
  Problem problem;
  problem.status = 505;
  problem.code = "http_version";
  problem.detail = "a streamed response cannot be sent to an HTTP/1.0 client";
  problem.remedy = "send the request as HTTP/1.1";
  // The handler has started its response, so the request may have run.
  problem.execution = Execution::kMayHaveRun;
  return problem;
}

class Responder final : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<ServerExchange> exchange)
      : exchange(std::move(exchange)) {}
  ~Responder() override { this->exchange->OnResponderDestroyed(); }

  void Send(HttpResponse response) override {
    this->exchange->Send(std::move(response));
  }
  void Start(int status, HttpHeaders headers) override {
    this->exchange->Start(status, std::move(headers));
  }
  void Write(std::string chunk, std::function<void(bool)> written) override {
    this->exchange->Write(std::move(chunk), std::move(written));
  }
  void Finish() override { this->exchange->Finish(); }
  void Abort() override { this->exchange->Abort(); }
  void OnClosed(std::function<void()> closed) override {
    this->exchange->OnClosed(std::move(closed));
  }

 private:
  std::shared_ptr<ServerExchange> exchange;
};

}  // namespace

ServerExchange::ServerExchange(std::shared_ptr<ConnectionRegistry> registry,
                               std::shared_ptr<ServerConnection> connection,
                               restinio::request_handle_t request)
    : registry(std::move(registry)),
      connection(std::move(connection)),
      request(std::move(request)) {
  this->is_head_request =
      this->request->header().method() == restinio::http_method_head();
  ++this->registry->requests_in_progress;
}

ServerExchange::~ServerExchange() {
  this->MarkEnded();
}

void ServerExchange::MarkEnded() {
  if (this->state != State::kEnded) {
    this->state = State::kEnded;
    --this->registry->requests_in_progress;
    this->registry->unsent.Remove(this->unsent_id);
  }
}

void ServerExchange::Attach() {
  this->connection->SetClosedHandler(
      [self = this->shared_from_this()] { self->OnConnectionClosed(); });
}

void ServerExchange::Post(std::function<void()> task) {
  asio::post(this->registry->Context(), std::move(task));
}

bool ServerExchange::ResponseHasBody(int status) const {
  // RFC 9110, section 6.4.1.
  return !this->is_head_request && status != kNoContent &&
         status != kNotModified;
}

template <typename Builder>
void ServerExchange::AddHeaders(Builder& builder, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    if (!IsFramingHeader(header.name)) {
      builder.append_header(WithoutLineBreaks(header.name),
                            WithoutLineBreaks(header.value));
    }
  }
  if (this->registry->keep_alive_disabled ||
      FindHeader(headers, "connection") == "close") {
    builder.connection_close();
  }
}

void ServerExchange::Send(HttpResponse response) {
  if (this->state != State::kWaiting) {
    return;
  }
  this->state = State::kFinishing;
  if (!this->ResponseHasBody(response.status)) {
    this->SendWithoutBody(response);
    return;
  }
  auto builder = this->request->create_response(StatusLine(response.status));
  this->request.reset();
  this->AddHeaders(builder, response.headers);
  this->TrackUnsent(response.body.size());
  builder.set_body(std::move(response.body));
  builder.done([self = this->shared_from_this()](const auto& /*error*/) {
    self->OnResponseWritten();
  });
}

void ServerExchange::TrackUnsent(std::size_t bytes) {
  if (!this->registry->unsent.Limited()) {
    return;
  }
  this->unsent_id =
      this->registry->unsent.Add(bytes, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Abort();
        }
      });
  for (std::function<void()>& abort : this->registry->unsent.TakeExcess()) {
    if (this->registry->Options().on_unsent_limit) {
      this->registry->Options().on_unsent_limit();
    }
    this->Post(std::move(abort));
  }
}

void ServerExchange::SendWithoutBody(const HttpResponse& response) {
  auto builder =
      this->request->create_response<restinio::user_controlled_output_t>(
          StatusLine(response.status));
  this->request.reset();
  this->AddHeaders(builder, response.headers);
  builder.set_content_length(response.body.size());
  builder.done([self = this->shared_from_this()](const auto& /*error*/) {
    self->OnResponseWritten();
  });
}

void ServerExchange::Start(int status, HttpHeaders headers) {
  if (this->state != State::kWaiting) {
    return;
  }
  if (this->connection->IsHttp10()) {
    this->Send(Http10StreamingProblem().ToResponse());
    return;
  }
  if (!this->ResponseHasBody(status)) {
    this->Send({status, std::move(headers), ""});
    return;
  }
  this->state = State::kStreaming;
  this->builder.emplace(
      this->request->create_response<restinio::chunked_output_t>(
          StatusLine(status)));
  this->request.reset();
  this->AddHeaders(*this->builder, headers);
  // Posted, so that a chunk written in the same event-loop iteration is sent
  // together with the headers.
  this->Post([self = this->shared_from_this()] { self->FlushHeaders(); });
}

void ServerExchange::FlushHeaders() {
  if (this->state == State::kStreaming && !this->headers_flushed) {
    this->headers_flushed = true;
    this->builder->flush();
  }
}

void ServerExchange::Write(std::string chunk,
                           std::function<void(bool)> written) {
  if (this->state != State::kStreaming) {
    this->Post([written = std::move(written)] { written(false); });
    return;
  }
  this->headers_flushed = true;
  this->pending_chunks.push_back(std::move(written));
  this->builder->append_chunk(std::move(chunk));
  this->builder->flush([self = this->shared_from_this()](const auto& error) {
    self->OnChunkWritten(!error);
  });
}

void ServerExchange::OnChunkWritten(bool success) {
  // Empty when the connection ended first: the callbacks were called already.
  if (this->pending_chunks.empty()) {
    return;
  }
  const std::function<void(bool)> written =
      std::move(this->pending_chunks.front());
  this->pending_chunks.pop_front();
  // Posted, because RESTinio calls from a noexcept function that uses its state
  // afterwards.
  this->Post([written, success] { written(success); });
}

void ServerExchange::Finish() {
  if (this->state != State::kStreaming) {
    return;
  }
  this->state = State::kFinishing;
  ChunkedBuilder last = std::move(*this->builder);
  this->builder.reset();
  last.done([self = this->shared_from_this()](const auto& /*error*/) {
    self->OnResponseWritten();
  });
}

void ServerExchange::OnResponseWritten() {
  if (this->state != State::kFinishing) {
    return;
  }
  this->MarkEnded();
  this->closed = nullptr;
  this->connection->SetClosedHandler(nullptr);
}

void ServerExchange::Abort() {
  if (this->state == State::kEnded) {
    return;
  }
  this->closed = nullptr;
  this->connection->Abort();
}

void ServerExchange::OnConnectionClosed() {
  this->MarkEnded();
  this->builder.reset();
  this->request.reset();
  for (std::function<void(bool)>& written : this->pending_chunks) {
    this->Post([written = std::move(written)] { written(false); });
  }
  this->pending_chunks.clear();
  if (this->closed) {
    this->Post(std::exchange(this->closed, nullptr));
  }
}

void ServerExchange::OnClosed(std::function<void()> closed) {
  if (this->state == State::kEnded) {
    this->Post(std::move(closed));
    return;
  }
  this->closed = std::move(closed);
}

void ServerExchange::OnResponderDestroyed() {
  if (this->state == State::kWaiting) {
    this->Send(NoResponseProblem().ToResponse());
  } else if (this->state == State::kStreaming) {
    this->Abort();
  }
}

std::shared_ptr<HttpResponder> MakeResponder(
    std::shared_ptr<ServerExchange> exchange) {
  return std::make_shared<Responder>(std::move(exchange));
}

}  // namespace carobbank
