// Configures an easy handle and maps its callbacks to the client's handlers.

#include "LibHTTP/client_transfer.h"

#include <asio/post.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include "LibHTTP/socket_bytes.h"

namespace carobbank {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kLastStatus = 599;
constexpr std::string_view kInvalidStatusLine =
    "the response has no valid status line";
// A read returns up to 16 KB; a header line or the size of a chunk arrives in a
// few reads, whatever its sender.
constexpr std::size_t kMaxEmptyReads = 128;
// Bytes of a response that reach no callback: chunk sizes and extensions. A
// chunk of one byte has five of them, and 27 in a TLS record of its own.
constexpr std::int64_t kMaxFramingBytes = 64 * 1024;
constexpr std::int64_t kMaxFramingPerByte = 32;
constexpr std::size_t kPassesBetweenCounts = 16;
// A delivery is followed by passes without a read.
constexpr std::size_t kEmptyPassesBeforeCount = 3;
// libcurl reads at most this much at once.
constexpr std::size_t kMaxGatheredBytes = 16 * 1024;

// The position at which the target of the request begins.
std::size_t TargetPosition(std::string_view url) {
  constexpr std::string_view kSchemeEnd = "://";
  const std::size_t scheme_end = url.find(kSchemeEnd);
  const std::size_t authority =
      scheme_end == std::string_view::npos ? 0 : scheme_end + kSchemeEnd.size();
  return std::min(url.find_first_of("/?#", authority), url.size());
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

// The status code of "HTTP/1.1 200 OK". Without a value when the line is no
// status line of HTTP/1.x (RFC 9112, section 4), its code is not from 100 to
// 599 (RFC 9110, section 15), or it switches to a protocol that was not
// requested.
std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kCodeBegin = kVersion.size() + 2;
  constexpr std::size_t kCodeEnd = kCodeBegin + 3;
  const bool well_formed =
      line.size() >= kCodeEnd && line.starts_with(kVersion) &&
      std::isdigit(static_cast<unsigned char>(line[kVersion.size()])) != 0 &&
      line[kCodeBegin - 1] == ' ' &&
      (line.size() == kCodeEnd || line[kCodeEnd] == ' ');
  if (!well_formed) {
    return std::nullopt;
  }
  const auto status =
      ParseInteger<int>(line.substr(kCodeBegin, kCodeEnd - kCodeBegin));
  const bool valid = status && *status >= kFirstStatus &&
                     *status <= kLastStatus && *status != kSwitchingProtocols;
  return valid ? status : std::nullopt;
}

}  // namespace

ClientTransfer::ClientTransfer(
    asio::io_context& context,
    CurlMulti& multi,
    HttpClientRequest request,
    HttpClientHandlers handlers,
    std::function<void(ClientTransfer&)> on_idle_timeout)
    : multi(multi),
      request(std::move(request)),
      handlers(std::move(handlers)),
      on_idle_timeout(std::move(on_idle_timeout)),
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
  if (std::optional<Error> error = this->SetUrl()) {
    return error;
  }
  CURL* const handle = this->easy;
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // An empty string also disables proxies set in the environment.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, this->error_text.data());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &OnPass);
  curl_easy_setopt(handle, CURLOPT_XFERINFODATA, this);
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

// libcurl parses the URL without its target, which it would change: a fragment
// is removed, and some characters are escaped.
std::optional<Error> ClientTransfer::SetUrl() {
  const std::size_t position = TargetPosition(this->request.url);
  std::string target = this->request.url.substr(position);
  if (!target.starts_with('/')) {
    target.insert(target.begin(), '/');
  }
  if (!IsRequestTarget(target)) {
    return Error{ErrorKind::kInvalidArgument,
                 "a request target contains a blank or a control character",
                 "percent-encode the character"};
  }
  curl_easy_setopt(this->easy, CURLOPT_URL,
                   this->request.url.substr(0, position).c_str());
  curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET, target.c_str());
  return std::nullopt;
}

std::optional<Error> ClientTransfer::AddRequestHeaders() {
  const auto append = [this](const std::string& line) {
    this->request_headers =
        curl_slist_append(this->request_headers, line.c_str());
  };
  for (const HttpHeader& header : this->request.headers) {
    if (!IsFieldValue(header.name) || !IsFieldValue(header.value)) {
      return Error{ErrorKind::kInvalidArgument,
                   "a request header contains a line break or a zero byte",
                   "remove the line break or zero byte from the header"};
    }
    // libcurl removes the header for "name:" and sends an empty value for
    // "name;".
    append(header.value.empty() ? header.name + ";"
                                : header.name + ": " + header.value);
  }
  // Suppress headers that libcurl adds by default and the caller did not set.
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
    this->ArmIdleTimer(this->last_activity + this->request.idle_timeout);
  }
}

void ClientTransfer::ArmIdleTimer(MonotonicTime due) {
  this->idle_timer.expires_at(due);
  this->idle_timer.async_wait(
      [weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->cancelled) {
          self->CheckIdleTimeout();
        }
      });
}

// The timer is rearmed only when it expires, not on each received byte.
void ClientTransfer::CheckIdleTimeout() {
  const MonotonicTime now = std::chrono::steady_clock::now();
  const MonotonicTime due =
      (this->paused ? now : this->last_activity) + this->request.idle_timeout;
  if (due > now) {
    this->ArmIdleTimer(due);
    return;
  }
  this->idle_expired = true;
  this->on_idle_timeout(*this);
}

int ClientTransfer::OnBeforeRequest(void* self,
                                    char* /*remote_address*/,
                                    char* /*local_address*/,
                                    int /*remote_port*/,
                                    int /*local_port*/) {
  auto* const transfer = static_cast<ClientTransfer*>(self);
  // libcurl resends a request when a pooled connection closes before the first
  // byte of the response. The server may already have run the request, so the
  // resend is refused.
  if (transfer->CurrentSendState() == SendState::kMayHaveBeenSent) {
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
  transfer->empty_reads = 0;
  transfer->delivered_in_pass = true;
  transfer->multi.OnDelivery();
  if (!transfer->CountBytes(transfer->header_bytes, length,
                            transfer->request.max_header_bytes,
                            ResponseLimit::kHeader)) {
    return 0;
  }
  transfer->ProcessHeaderLine(std::string_view(bytes, length));
  return transfer->cancelled || !transfer->malformation.empty() ? 0 : length;
}

bool ClientTransfer::CountBytes(std::size_t& counter,
                                std::size_t bytes,
                                std::size_t limit,
                                ResponseLimit kind) {
  counter += bytes;
  if (counter > limit) {
    this->exceeded = kind;
  }
  return !this->exceeded;
}

// libcurl calls this after each of its passes over the transfer, in which it
// reads up to 100 times.
int ClientTransfer::OnPass(void* self,
                           curl_off_t /*download_total*/,
                           curl_off_t /*downloaded*/,
                           curl_off_t /*upload_total*/,
                           curl_off_t /*uploaded*/) {
  auto* const transfer = static_cast<ClientTransfer*>(self);
  if (!transfer->chunked || transfer->cancelled) {
    return 0;
  }
  const bool empty = !std::exchange(transfer->delivered_in_pass, false);
  transfer->empty_passes = empty ? transfer->empty_passes + 1 : 0;
  ++transfer->uncounted_passes;
  if (transfer->empty_passes < kEmptyPassesBeforeCount &&
      transfer->uncounted_passes < kPassesBetweenCounts) {
    return 0;
  }
  transfer->uncounted_passes = 0;
  return transfer->CountFramingBytes() ? 0 : 1;
}

bool ClientTransfer::CountFramingBytes() {
  if (this->socket == CURL_SOCKET_BAD) {
    this->socket = this->multi.SocketOf(this->easy);
  }
  const std::optional<std::int64_t> read = BytesReadFromSocket(this->socket);
  if (!read) {
    return true;
  }
  const auto delivered =
      static_cast<std::int64_t>(this->header_bytes + this->body_bytes);
  if (!this->first_count) {
    this->first_count = {*read, delivered};
  }
  const std::int64_t allowed =
      kMaxFramingBytes +
      (1 + kMaxFramingPerByte) * (delivered - this->first_count->delivered);
  if (*read - this->first_count->read > allowed) {
    this->exceeded = ResponseLimit::kFraming;
  }
  return !this->exceeded;
}

bool ClientTransfer::CountEmptyRead() {
  if (this->cancelled || ++this->empty_reads <= kMaxEmptyReads) {
    return false;
  }
  this->exceeded = ResponseLimit::kFraming;
  return true;
}

std::optional<ResponseLimitExceeded> ClientTransfer::ExceededLimit(
    CURLcode result) {
  // libcurl's limit of a single line.
  if (!this->exceeded && result == CURLE_OUT_OF_MEMORY) {
    this->exceeded = ResponseLimit::kHeader;
  }
  if (!this->exceeded) {
    return std::nullopt;
  }
  return ResponseLimitExceeded{
      this->request.url.substr(0, this->request.url.find('?')),
      *this->exceeded};
}

void ClientTransfer::ProcessHeaderLine(std::string_view line) {
  // Trailers after the body are ignored.
  if (this->headers_complete) {
    return;
  }
  if (this->expects_status_line) {
    this->ProcessStatusLine(line);
    return;
  }
  if (line.starts_with('\r') || line.starts_with('\n')) {
    this->OnHeadersComplete();
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  // Of a folded line, the continuation begins with a blank.
  if (colon == std::string_view::npos || !IsFieldName(name) ||
      !IsFieldValue(Trim(line))) {
    this->malformation = "the response has a malformed header line";
    return;
  }
  const HttpHeader header{std::string(name),
                          std::string(Trim(line.substr(colon + 1)))};
  if (HeaderNamesEqual(name, "content-length") &&
      !this->AddContentLength(header.value)) {
    this->malformation = "the response has no valid length";
  }
  this->response_headers.push_back(header);
}

bool ClientTransfer::AddContentLength(std::string_view list) {
  for (;;) {
    const std::size_t comma = list.find(',');
    const auto length =
        ParseInteger<std::uint64_t>(Trim(list.substr(0, comma)));
    if (!length || this->content_length.value_or(*length) != *length ||
        *length > std::numeric_limits<std::int64_t>::max()) {
      return false;
    }
    this->content_length = length;
    if (comma == std::string_view::npos) {
      return true;
    }
    list.remove_prefix(comma + 1);
  }
}

// libcurl accepts other versions, codes above 599 and letters after the code.
void ClientTransfer::ProcessStatusLine(std::string_view line) {
  const std::optional<int> parsed =
      ParseStatusLine(line.substr(0, line.find_first_of("\r\n")));
  if (!parsed) {
    this->malformation = kInvalidStatusLine;
  }
  this->status = parsed.value_or(0);
  this->response_headers.clear();
  this->content_length.reset();
  this->expects_status_line = false;
}

void ClientTransfer::OnHeadersComplete() {
  // Interim (1xx) responses are skipped (RFC 9110, section 15.2).
  if (this->status < kFirstFinalStatus) {
    this->expects_status_line = true;
    return;
  }
  this->headers_complete = true;
  this->chunked =
      FindHeader(this->response_headers, "transfer-encoding").has_value();
  if (this->handlers.on_headers) {
    this->handlers.on_headers(this->status, this->response_headers);
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
  transfer->empty_reads = 0;
  transfer->delivered_in_pass = true;
  transfer->multi.OnDelivery();
  if (transfer->paused) {
    transfer->last_activity = std::chrono::steady_clock::now();
    transfer->body_withheld = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!transfer->multi.CountInPass(length)) {
    transfer->UnpauseInNextTurn();
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!transfer->CountBytes(transfer->body_bytes, length,
                            transfer->request.max_body_bytes,
                            ResponseLimit::kBody)) {
    return CURL_WRITEFUNC_ERROR;
  }
  if (transfer->gathered_body.empty()) {
    transfer->last_activity = std::chrono::steady_clock::now();
    transfer->multi.DeliverAfterPass(transfer->easy);
  }
  transfer->gathered_body.append(bytes, length);
  if (transfer->gathered_body.size() >= kMaxGatheredBytes) {
    transfer->DeliverBody();
  }
  return transfer->cancelled ? CURL_WRITEFUNC_ERROR : length;
}

void ClientTransfer::DeliverBody() {
  const std::string body = std::exchange(this->gathered_body, {});
  if (!this->cancelled && !body.empty() && this->handlers.on_body) {
    this->handlers.on_body(body);
  }
}

void ClientTransfer::Resume() {
  if (!this->paused) {
    return;
  }
  this->paused = false;
  this->last_activity = std::chrono::steady_clock::now();
  if (!this->body_withheld) {
    return;
  }
  this->body_withheld = false;
  this->UnpauseInNextTurn();
}

// libcurl delivers the buffered bytes synchronously, possibly inside a handler,
// so unpausing is posted to the loop.
void ClientTransfer::UnpauseInNextTurn() {
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

void ClientTransfer::ReleaseHandlers() {
  // Moved out first: the handlers may own the object that owns this transfer.
  const HttpClientHandlers released = std::move(this->handlers);
  this->handlers = HttpClientHandlers();
}

bool ClientTransfer::IsSelfDelimited() const {
  return this->request.method == "HEAD" || this->status == kNoContent ||
         this->status == kNotModified ||
         FindHeader(this->response_headers, "content-length") ||
         FindHeader(this->response_headers, "transfer-encoding");
}

SendState ClientTransfer::CurrentSendState() const {
  long request_bytes = 0;
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes == 0 ? SendState::kNotSent : SendState::kMayHaveBeenSent;
}

Error ClientTransfer::DescribeFailure(CURLcode result,
                                      SendState send_state) const {
  std::string reason = this->error_text.data();
  if (this->exceeded) {
    reason = "the response exceeds the limit of its " +
             std::string(ResponseLimitName(*this->exceeded));
  } else if (this->idle_expired) {
    reason = "no byte was received for " +
             std::to_string(this->request.idle_timeout.count()) + " ms";
  } else if (!this->malformation.empty()) {
    reason = this->malformation;
  } else if (this->resend_refused) {
    reason = "the pooled connection closed before a response";
  } else if (reason.empty()) {
    reason = curl_easy_strerror(result);
  }
  // The query is omitted because it may contain data that must not be logged.
  const std::string message =
      this->request.method + " " +
      this->request.url.substr(0, this->request.url.find('?')) + ": " + reason;
  if (send_state == SendState::kNotSent) {
    return {ErrorKind::kUnavailable, message,
            "nothing was sent: retry, or use another instance"};
  }
  return {ErrorKind::kOutcomeUnknown, message,
          "repeat the request only if it is idempotent"};
}

void ClientTransfer::Complete(CURLcode result) {
  if (this->cancelled) {
    return;
  }
  // libcurl reports success when the connection closes within the head.
  if (result == CURLE_OK && !this->headers_complete) {
    this->malformation = "the response ended within its head";
    result = CURLE_WEIRD_SERVER_REPLY;
  }
  if (result == CURLE_OK && !this->request.accept_close_delimited_response &&
      !this->IsSelfDelimited()) {
    this->Fail(SendState::kMayHaveBeenSent,
               {ErrorKind::kOutcomeUnknown,
                "the response has neither Content-Length nor chunked encoding",
                "let the server send Content-Length or chunked encoding"});
    return;
  }
  if (result != CURLE_OK) {
    const SendState send_state = this->CurrentSendState();
    this->Fail(send_state, this->DescribeFailure(result, send_state));
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
