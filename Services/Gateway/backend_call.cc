// Sends a request to a backend server, collects the response and classifies it.

#include "backend_call.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstFailureStatus = 300;
constexpr int kFirstClientErrorStatus = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
// A new connection within a region takes milliseconds; a machine that is down
// does not respond at all.
constexpr Milliseconds kConnectTimeout{400};
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection",     "keep-alive", "transfer-encoding",  "te",
    "trailer",        "upgrade",    "proxy-authenticate", "proxy-authorization",
    "content-length", "expect"};

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view connection_header) {
                       return HeaderNamesEqual(name, connection_header);
                     });
}

// Whether the Connection field lists this field as hop-by-hop.
bool NamedInConnection(std::string_view name, std::string_view connection) {
  while (!connection.empty()) {
    const std::size_t comma = std::min(connection.find(','), connection.size());
    std::string_view token = connection.substr(0, comma);
    while (token.starts_with(' ')) {
      token.remove_prefix(1);
    }
    while (token.ends_with(' ')) {
      token.remove_suffix(1);
    }
    if (HeaderNamesEqual(token, name)) {
      return true;
    }
    connection.remove_prefix(std::min(comma + 1, connection.size()));
  }
  return false;
}

}  // namespace

HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            const WireHeaderNames& names) {
  const std::string_view connection =
      FindHeader(headers, "connection").value_or("");
  HttpHeaders end_to_end;
  for (const HttpHeader& header : headers) {
    const bool set_by_gateway =
        HeaderNamesEqual(header.name, names.deadline) ||
        HeaderNamesEqual(header.name, names.expected_server);
    if (!set_by_gateway && !IsConnectionHeader(header.name) &&
        !NamedInConnection(header.name, connection)) {
      end_to_end.push_back(header);
    }
  }
  return end_to_end;
}

void RemoveIdentity(HttpHeaders& headers, const WireHeaderNames& names) {
  std::erase_if(headers, [&names](const HttpHeader& header) {
    return HeaderNamesEqual(header.name, names.authorization) ||
           HeaderNamesEqual(header.name, names.workspace);
  });
}

HttpClientRequest RequestForServer(const BackendRequest& request,
                                   const FleetServer& server,
                                   const WireHeaderNames& names) {
  HttpClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + server.address + request.target;
  sent.headers = request.headers;
  if (!request.workspace.empty()) {
    RemoveIdentity(sent.headers, names);
    sent.headers.push_back({std::string(names.workspace), request.workspace});
  }
  sent.headers.push_back(
      {std::string(names.deadline), std::to_string(request.time_left.count())});
  sent.headers.push_back({std::string(names.expected_server), server.id});
  sent.body = request.body;
  sent.fresh_connection = request.fresh_connection;
  sent.timeout = std::min(request.time_left,
                          request.attempt_timeout.value_or(request.time_left));
  sent.connect_timeout = std::min(kConnectTimeout, sent.timeout);
  return sent;
}

bool IsNotRunResponse(int status,
                      const HttpHeaders& headers,
                      const WireHeaderNames& names) {
  return status == kMisdirected ||
         FindHeader(headers, names.not_run).has_value();
}

bool RepeatsEvent(std::string_view event_id, std::string_view last_event_id) {
  const auto number = ParseInteger<std::uint64_t>(event_id);
  const auto last = ParseInteger<std::uint64_t>(last_event_id);
  return number && last && *number <= *last;
}

bool IsRejection(int status) {
  return status >= kFirstClientErrorStatus &&
         status < kFirstServerErrorStatus && status != kRequestTimeout &&
         status != kTooManyRequests;
}

BackendCall::BackendCall(GatewayEnvironment& environment,
                         const FleetServer& server,
                         const BackendRequest& request,
                         Callback done)
    : environment(environment),
      attempt(environment, server, request),
      time_left(request.time_left),
      done(std::move(done)),
      body(environment.client.Budget()) {}

std::unique_ptr<BackendCall> BackendCall::Start(GatewayEnvironment& environment,
                                                const FleetServer& server,
                                                const BackendRequest& request,
                                                Callback done) {
  auto call = std::unique_ptr<BackendCall>(
      new BackendCall(environment, server, request, std::move(done)));
  HttpClientRequest sent =
      RequestForServer(request, server, environment.dialect.HeaderNames());
  sent.accept_close_delimited_response = true;
  sent.max_body_bytes = kMaxResponseBytes;
  call->exchange = environment.client.Start(std::move(sent), call->Handlers());
  return call;
}

std::unique_ptr<BackendCall> BackendCall::StartStream(
    GatewayEnvironment& environment,
    const FleetServer& server,
    const BackendRequest& request,
    StreamHandlers stream,
    Callback done) {
  std::unique_ptr<BackendCall> call =
      Start(environment, server, request, std::move(done));
  call->stream = std::move(stream);
  return call;
}

HttpClientHandlers BackendCall::Handlers() {
  HttpClientHandlers handlers;
  handlers.on_headers = [this](int status, const HttpHeaders& headers) {
    this->OnHeaders(status, headers);
  };
  handlers.on_body = [this](std::string_view bytes) {
    this->AppendBody(bytes);
  };
  handlers.on_done = [this] { this->OnDone(); };
  handlers.on_failure = [this](const HttpClientFailure& failure) {
    this->OnFailure(failure);
  };
  return handlers;
}

void BackendCall::OnHeaders(int status, const HttpHeaders& headers) {
  this->response.status = status;
  this->response.headers = headers;
  this->attempt.OnHeaders(status, headers);
  this->streaming = this->stream.on_events && status == kOk &&
                    IsEventStream(headers) && this->IsOwnResponse();
  if (this->streaming) {
    this->stream.on_head(headers, this->exchange->ConnectedAt().value_or(
                                      this->environment.clock.BootNow()));
  }
}

bool BackendCall::IsOwnResponse() const {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const HttpHeaders& headers = this->response.headers;
  return FindHeader(headers, names.request_id) == this->attempt.RequestId() &&
         FindHeader(headers, names.signature).has_value();
}

void BackendCall::ForwardEvents(std::string_view bytes) {
  const std::weak_ptr<bool> unless_destroyed = this->alive;
  while (!bytes.empty()) {
    const std::size_t newline = bytes.find('\n');
    const std::string_view line = bytes.substr(
        0, newline == std::string_view::npos ? newline : newline + 1);
    bytes.remove_prefix(line.size());
    this->partial_event.append(line);
    const auto complete = Capture([&] { return this->reader.Feed(line); });
    if (!complete.Ok()) {
      this->End(
          {BackendCallOutcome::kMayHaveRun, {}, complete.GetError().message},
          SendOutcome::kFailed);
      return;
    }
    if (complete.Value().empty()) {
      continue;
    }
    this->events += complete.Value().size();
    const std::string event = std::exchange(this->partial_event, {});
    this->stream.on_events(event, complete.Value().back().id);
    if (unless_destroyed.expired()) {
      return;
    }
  }
}

void BackendCall::AppendBody(std::string_view bytes) {
  if (this->done && this->streaming) {
    this->ForwardEvents(bytes);
    return;
  }
  if (!this->done || this->body.Append(bytes)) {
    return;
  }
  ReportResponseLimit(this->environment.metrics,
                      {this->attempt.ServerId(), ResponseLimit::kMemory});
  this->End({BackendCallOutcome::kMayHaveRun,
             {},
             "the responses in memory reached the limit of this process"},
            SendOutcome::kFailed);
}

void BackendCall::OnDone() {
  if (this->streaming && !this->reader.AtEventBoundary()) {
    this->End({BackendCallOutcome::kMayHaveRun,
               {},
               "the stream ended within an event"},
              SendOutcome::kFailed);
    return;
  }
  this->response.body = this->body.Take();
  BackendCallResult result = this->ClassifyResponse();
  SendOutcome outcome = SendOutcome::kAnswered;
  if (result.outcome == BackendCallOutcome::kNotRun) {
    outcome = result.response.status == kMisdirected ? SendOutcome::kFailed
                                                     : SendOutcome::kRefused;
  } else if (result.outcome == BackendCallOutcome::kMayHaveRun) {
    outcome = SendOutcome::kFailed;
  }
  this->End(std::move(result), outcome);
}

BackendCallResult BackendCall::ClassifyResponse() {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const HttpHeaders& headers = this->response.headers;
  // A late response to an earlier request on the connection carries the id of
  // the earlier request.
  const auto echoed = FindHeader(headers, names.request_id);
  if (echoed && *echoed != this->attempt.RequestId()) {
    return {BackendCallOutcome::kMayHaveRun,
            {},
            "the response belongs to another request"};
  }
  if (IsNotRunResponse(this->response.status, headers, names)) {
    return {BackendCallOutcome::kNotRun, std::move(this->response),
            "the server did not run the request"};
  }
  const bool success = this->response.status < kFirstFailureStatus;
  if (success && (!echoed || !FindHeader(headers, names.signature))) {
    return {BackendCallOutcome::kMayHaveRun,
            {},
            "the response lacks a request id or a signature"};
  }
  if (!success && !FindHeader(headers, names.signature) &&
      this->response.status == kServiceUnavailable) {
    return {BackendCallOutcome::kMayHaveRun,
            {},
            "the 503 response is neither signed nor marked as not run"};
  }
  return {BackendCallOutcome::kAnswered, std::move(this->response), ""};
}

void BackendCall::OnFailure(const HttpClientFailure& failure) {
  const BackendCallOutcome call_outcome =
      failure.send_state == SendState::kNotSent
          ? BackendCallOutcome::kNotRun
          : BackendCallOutcome::kMayHaveRun;
  this->End({call_outcome, {}, failure.error.message}, SendOutcome::kFailed);
}

void BackendCall::LogWithoutResponse(std::string_view reason) const {
  WriteLog(LogLevel::kInfo, "attempt ended without a response",
           {{"request", this->attempt.RequestId()},
            {"digest", this->attempt.Digest()},
            {"server", this->attempt.ServerId()},
            {"server_started_at", std::to_string(this->attempt.ServerStart())},
            {"attempt_ms", std::to_string(this->attempt.Elapsed().count())},
            {"given_ms", std::to_string(this->time_left.count())},
            {"reason", std::string(reason)}});
}

void BackendCall::End(BackendCallResult result, SendOutcome outcome) {
  if (!this->done) {
    return;
  }
  const bool may_have_run = result.outcome != BackendCallOutcome::kNotRun;
  if (result.outcome == BackendCallOutcome::kMayHaveRun) {
    this->LogWithoutResponse(result.reason);
  }
  // With a 5xx status the request may have ended in the server's queue.
  const bool completed = result.outcome == BackendCallOutcome::kAnswered &&
                         result.response.status < kFirstServerErrorStatus;
  this->attempt.End({outcome, may_have_run, this->events > 1, completed,
                     result.response.status});
  const Callback report = std::move(this->done);
  this->done = nullptr;
  result.events = this->events;
  // May destroy this call.
  report(std::move(result));
}

}  // namespace carobbank
