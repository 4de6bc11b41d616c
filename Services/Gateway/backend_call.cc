// Sending, collecting and judging one exchange with a backend server.

#include "backend_call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carobbank {

namespace {

constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstFailureStatus = 300;
// A new connection within a region takes milliseconds; a machine that is gone
// doesn't answer at all.
constexpr Milliseconds kConnectTimeout{400};
constexpr std::size_t kMostAnswerBytes = 32 * 1024 * 1024;

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection",     "keep-alive", "transfer-encoding",  "te",
    "trailer",        "upgrade",    "proxy-authenticate", "proxy-authorization",
    "content-length", "expect"};

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [name](std::string_view known) { return HeaderNamesEqual(name, known); });
}

// Whether the Connection field names this one as hop-by-hop.
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
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    const bool own = HeaderNamesEqual(header.name, names.deadline) ||
                     HeaderNamesEqual(header.name, names.expected_server);
    if (!own && !IsConnectionHeader(header.name) &&
        !NamedInConnection(header.name, connection)) {
      kept.push_back(header);
    }
  }
  return kept;
}

HttpClientRequest RequestForServer(const BackendRequest& request,
                                   const FleetServer& server,
                                   const WireHeaderNames& names) {
  HttpClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + server.address + request.target;
  sent.headers = request.headers;
  sent.headers.push_back(
      {std::string(names.deadline), std::to_string(request.time_left.count())});
  sent.headers.push_back({std::string(names.expected_server), server.id});
  sent.body = request.body;
  sent.connect_timeout = std::min(kConnectTimeout, request.time_left);
  sent.timeout = request.time_left;
  return sent;
}

bool IsNotRunResponse(int status,
                      const HttpHeaders& headers,
                      const WireHeaderNames& names) {
  return status == kMisdirected ||
         FindHeader(headers, names.not_run).has_value();
}

BackendCall::BackendCall(GatewayEnvironment& environment,
                         std::string server_id,
                         std::string request_id,
                         Callback done)
    : environment(environment),
      account(environment, std::move(server_id)),
      request_id(std::move(request_id)),
      done(std::move(done)) {}

std::unique_ptr<BackendCall> BackendCall::Start(GatewayEnvironment& environment,
                                                const FleetServer& server,
                                                const BackendRequest& request,
                                                Callback done) {
  auto call = std::unique_ptr<BackendCall>(new BackendCall(
      environment, server.id, request.request_id, std::move(done)));
  HttpClientRequest sent =
      RequestForServer(request, server, environment.dialect.HeaderNames());
  sent.accept_close_delimited_response = true;
  call->exchange = environment.client.Start(std::move(sent), call->Handlers());
  return call;
}

HttpClientHandlers BackendCall::Handlers() {
  HttpClientHandlers handlers;
  handlers.on_headers = [this](int status, const HttpHeaders& headers) {
    this->response.status = status;
    this->response.headers = headers;
  };
  handlers.on_body = [this](std::string_view bytes) { this->TakeBody(bytes); };
  handlers.on_done = [this] { this->Done(); };
  handlers.on_failure = [this](const HttpClientFailure& failure) {
    this->Failed(failure);
  };
  return handlers;
}

void BackendCall::TakeBody(std::string_view bytes) {
  if (this->response.body.size() + bytes.size() > kMostAnswerBytes) {
    this->End({BackendCallOutcome::kMayHaveRun, {}, "the answer is too long"},
              SendOutcome::kFailed);
    return;
  }
  this->response.body.append(bytes);
}

void BackendCall::Done() {
  BackendCallResult answer = this->Judge();
  SendOutcome outcome = SendOutcome::kAnswered;
  if (answer.outcome == BackendCallOutcome::kNotRun) {
    outcome = answer.response.status == kMisdirected ? SendOutcome::kFailed
                                                     : SendOutcome::kRefused;
  } else if (answer.outcome == BackendCallOutcome::kMayHaveRun) {
    outcome = SendOutcome::kFailed;
  }
  this->End(std::move(answer), outcome);
}

BackendCallResult BackendCall::Judge() {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const HttpHeaders& headers = this->response.headers;
  // A late answer to an earlier request on the connection names that one.
  const auto echoed = FindHeader(headers, names.request_id);
  if (echoed && *echoed != this->request_id) {
    return {
        BackendCallOutcome::kMayHaveRun, {}, "the answer is another request's"};
  }
  if (IsNotRunResponse(this->response.status, headers, names)) {
    return {BackendCallOutcome::kNotRun, std::move(this->response),
            "the server did not run it"};
  }
  const bool success = this->response.status < kFirstFailureStatus;
  if (success && (!echoed || !FindHeader(headers, names.signature))) {
    return {BackendCallOutcome::kMayHaveRun, {}, "the answer is not signed"};
  }
  if (!success && !FindHeader(headers, names.signature) &&
      this->response.status == kServiceUnavailable) {
    return {
        BackendCallOutcome::kMayHaveRun, {}, "the refusal is not vouched for"};
  }
  return {BackendCallOutcome::kAnswered, std::move(this->response), ""};
}

void BackendCall::Failed(const HttpClientFailure& failure) {
  const BackendCallOutcome verdict = failure.send_state == SendState::kNotSent
                                         ? BackendCallOutcome::kNotRun
                                         : BackendCallOutcome::kMayHaveRun;
  this->End({verdict, {}, failure.error.message}, SendOutcome::kFailed);
}

void BackendCall::End(BackendCallResult answer, SendOutcome outcome) {
  if (!this->done) {
    return;
  }
  this->account.End(outcome);
  const Callback report = std::move(this->done);
  this->done = nullptr;
  // May destroy this call.
  report(std::move(answer));
}

}  // namespace carobbank
