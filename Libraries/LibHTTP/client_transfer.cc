// Setting up an easy handle, and what its callbacks mean for the handlers.

#include "LibHTTP/client_transfer.h"

#include <asio/post.hpp>

#include <charconv>
#include <utility>

namespace carobbank {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsSafeInHeader(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

// "HTTP/1.1 200 OK" gives 200; 0 when it is no status line.
int StatusOf(std::string_view line) {
  const std::size_t space = line.find(' ');
  int status = 0;
  if (space != std::string_view::npos) {
    std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
  }
  return status;
}

}  // namespace

ClientTransfer::ClientTransfer(asio::io_context& context,
                               CurlMulti& multi,
                               HttpClientRequest request,
                               HttpClientHandlers handlers,
                               std::function<void(ClientTransfer&)> expired)
    : multi(multi),
      request(std::move(request)),
      handlers(std::move(handlers)),
      expired(std::move(expired)),
      easy(curl_easy_init()),
      idle_timer(context) {}

ClientTransfer::~ClientTransfer() {
  curl_easy_cleanup(this->easy);
  curl_slist_free_all(this->request_headers);
}

std::optional<Error> ClientTransfer::Configure() {
  if (std::optional<Error> error = this->AddRequestHeaders()) {
    return error;
  }
  CURL* const handle = this->easy;
  curl_easy_setopt(handle, CURLOPT_URL, this->request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // An empty text also shuts out the proxies that the environment names.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, this->error_text.data());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(this->request.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(this->request.connect_timeout.count()));
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                   this->request.fresh_connection ? 1L : 0L);
  this->multi.Prepare(handle);
  this->SetMethodAndBody();
  return std::nullopt;
}

std::optional<Error> ClientTransfer::AddRequestHeaders() {
  const auto append = [this](const std::string& line) {
    this->request_headers =
        curl_slist_append(this->request_headers, line.c_str());
  };
  for (const HttpHeader& header : this->request.headers) {
    if (!IsSafeInHeader(header.name) || !IsSafeInHeader(header.value)) {
      return Error{ErrorKind::kInvalidArgument,
                   "a request header holds a line break or a zero byte",
                   "remove it from the header's value"};
    }
    // libcurl takes "name:" as a wish to drop the header, "name;" as empty.
    append(header.value.empty() ? header.name + ";"
                                : header.name + ": " + header.value);
  }
  // What libcurl would add by itself and the caller did not ask for.
  for (const char* const name : {"Expect", "Accept", "Content-Type"}) {
    if (!FindHeader(this->request.headers, name)) {
      append(std::string(name) + ":");
    }
  }
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->request_headers);
  return std::nullopt;
}

void ClientTransfer::SetMethodAndBody() {
  const std::string& method = this->request.method;
  if (method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool expects_body =
      method == "POST" || method == "PUT" || method == "PATCH";
  if (expects_body || !this->request.body.empty()) {
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->request.body.size()));
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->request.body.data());
  }
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void ClientTransfer::StartIdleTimer() {
  this->last_activity = std::chrono::steady_clock::now();
  if (this->request.idle_timeout.count() > 0) {
    this->WaitForIdleness(this->last_activity + this->request.idle_timeout);
  }
}

void ClientTransfer::WaitForIdleness(MonotonicTime due) {
  this->idle_timer.expires_at(due);
  this->idle_timer.async_wait(
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->cancelled) {
          self->CheckIdleness();
        }
      });
}

// The timer is set again only when it expires, not at each byte.
void ClientTransfer::CheckIdleness() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const MonotonicTime due =
      (this->paused ? now : this->last_activity) + this->request.idle_timeout;
  if (due > now) {
    this->WaitForIdleness(due);
    return;
  }
  this->idle_expired = true;
  this->expired(*this);
}

int ClientTransfer::OnBeforeRequest(void* self,
                                    char* /*remote_address*/,
                                    char* /*local_address*/,
                                    int /*remote_port*/,
                                    int /*local_port*/) {
  auto* const transfer = static_cast<ClientTransfer*>(self);
  // libcurl sends a request again by itself when a pooled connection closes
  // before any byte of the answer; the first one may have run, so don't.
  if (transfer->SendStateNow() == SendState::kMayHaveBeenSent) {
    transfer->resend_refused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  return CURL_PREREQFUNC_OK;
}

std::size_t ClientTransfer::OnHeader(char* bytes,
                                     std::size_t size,
                                     std::size_t count,
                                     void* self) {
  auto* const transfer = static_cast<ClientTransfer*>(self);
  const std::size_t length = size * count;
  if (transfer->cancelled) {
    return 0;
  }
  transfer->last_activity = std::chrono::steady_clock::now();
  transfer->TakeHeaderLine(std::string_view(bytes, length));
  return transfer->cancelled ? 0 : length;
}

void ClientTransfer::TakeHeaderLine(std::string_view line) {
  // What follows the body are trailers.
  if (this->headers_complete) {
    return;
  }
  const std::string_view text = Trim(line);
  if (text.empty()) {
    this->HeadersComplete();
    return;
  }
  if (text.starts_with("HTTP/")) {
    this->status = StatusOf(text);
    this->answer_headers.clear();
    return;
  }
  const std::size_t colon = text.find(':');
  if (colon != std::string_view::npos) {
    this->answer_headers.push_back({std::string(text.substr(0, colon)),
                                    std::string(Trim(text.substr(colon + 1)))});
  }
}

void ClientTransfer::HeadersComplete() {
  // Interim answers (RFC 9110, section 15.2) are not the answer.
  if (this->status < kFirstFinalStatus) {
    return;
  }
  this->headers_complete = true;
  if (this->handlers.on_headers) {
    this->handlers.on_headers(this->status, this->answer_headers);
  }
}

std::size_t ClientTransfer::OnBody(char* bytes,
                                   std::size_t size,
                                   std::size_t count,
                                   void* self) {
  auto* const transfer = static_cast<ClientTransfer*>(self);
  const std::size_t length = size * count;
  if (transfer->cancelled) {
    return CURL_WRITEFUNC_ERROR;
  }
  transfer->last_activity = std::chrono::steady_clock::now();
  if (transfer->paused) {
    transfer->held_back = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (transfer->handlers.on_body) {
    transfer->handlers.on_body(std::string_view(bytes, length));
  }
  return transfer->cancelled ? CURL_WRITEFUNC_ERROR : length;
}

void ClientTransfer::Resume() {
  if (!this->paused) {
    return;
  }
  this->paused = false;
  this->last_activity = std::chrono::steady_clock::now();
  if (!this->held_back) {
    return;
  }
  this->held_back = false;
  // libcurl hands the held bytes over at once, maybe inside the caller's own
  // handler; so go on from the loop.
  asio::post(this->idle_timer.get_executor(),
             [self = this->shared_from_this()] {
               if (!self->cancelled) {
                 self->multi.Unpause(self->easy);
               }
             });
}

void ClientTransfer::Cancel() {
  this->cancelled = true;
  this->idle_timer.cancel();
}

void ClientTransfer::DropHandlers() {
  // Moved out first: they may own what owns this transfer.
  const HttpClientHandlers released = std::move(this->handlers);
  this->handlers = HttpClientHandlers();
}

bool ClientTransfer::EndIsKnown() const {
  return this->request.method == "HEAD" || this->status == kNoContent ||
         this->status == kNotModified ||
         FindHeader(this->answer_headers, "content-length") ||
         FindHeader(this->answer_headers, "transfer-encoding");
}

SendState ClientTransfer::SendStateNow() const {
  long request_bytes = 0;
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes == 0 ? SendState::kNotSent : SendState::kMayHaveBeenSent;
}

Error ClientTransfer::Describe(CURLcode result, SendState send_state) const {
  std::string reason = this->error_text.data();
  if (this->idle_expired) {
    reason = "no byte came for " +
             std::to_string(this->request.idle_timeout.count()) + " ms";
  } else if (this->resend_refused) {
    reason = "the pooled connection closed before an answer";
  } else if (reason.empty()) {
    reason = curl_easy_strerror(result);
  }
  // The query may hold what does not belong into a log.
  const std::string message =
      this->request.method + " " +
      this->request.url.substr(0, this->request.url.find('?')) + ": " + reason;
  if (send_state == SendState::kNotSent) {
    return {ErrorKind::kUnavailable, message,
            "nothing was sent: try again, or another instance"};
  }
  return {ErrorKind::kOutcomeUnknown, message,
          "repeat the request only if it is idempotent"};
}

void ClientTransfer::Complete(CURLcode result) {
  if (this->cancelled) {
    return;
  }
  if (result == CURLE_OK && !this->request.accept_close_delimited_response &&
      !this->EndIsKnown()) {
    this->Fail(
        SendState::kMayHaveBeenSent,
        {ErrorKind::kOutcomeUnknown, "the end of the answer is not marked",
         "let the server send Content-Length or chunks"});
    return;
  }
  if (result != CURLE_OK) {
    const SendState send_state = this->SendStateNow();
    this->Fail(send_state, this->Describe(result, send_state));
    return;
  }
  const HttpClientHandlers last = std::move(this->handlers);
  this->handlers = HttpClientHandlers();
  this->Cancel();
  if (last.on_done) {
    last.on_done();
  }
}

void ClientTransfer::Fail(SendState send_state, Error error) {
  const HttpClientHandlers last = std::move(this->handlers);
  this->handlers = HttpClientHandlers();
  this->Cancel();
  if (last.on_failure) {
    last.on_failure({send_state, std::move(error)});
  }
}

}  // namespace carobbank
