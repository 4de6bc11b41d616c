// Requests to the backend server, and probes after a broken connection.

#include "Sidecar/backend.h"

#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kConnectTimeout{1'000};
// Bodies are forwarded as they arrive, not held.
constexpr std::size_t kMaxForwardedBytes = 1024UL * 1024 * 1024;
constexpr Milliseconds kProbeTimeout{1'000};

// The server may close a pooled connection while a request is being sent, so
// methods that are not idempotent (RFC 9110, section 9.2.2) use a new
// connection.
bool NeedsFreshConnection(std::string_view method) {
  return method != "GET" && method != "HEAD" && method != "OPTIONS";
}

}  // namespace

std::unique_ptr<HttpExchange> Backend::Start(const WorkRequest& work,
                                             HttpClientHandlers handlers) {
  HttpClientRequest request;
  request.method = work.forward.method;
  request.url = this->base_url + work.forward.target;
  request.headers = work.forward.headers;
  request.body = work.forward.body;
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = kMaxForwardedBytes;
  request.fresh_connection =
      !this->IsEngine() && NeedsFreshConnection(work.forward.method);
  return this->client.Start(std::move(request), std::move(handlers));
}

void Backend::Cancel(std::string_view attempt_id) {
  if (this->engine != nullptr) {
    this->engine->Cancel(attempt_id);
  }
}

void Backend::ProbeCrash(std::optional<std::uint64_t> incarnation,
                         CrashCallback callback) {
  if (this->IsEngine()) {
    this->ProbeEngine(incarnation, std::move(callback));
  } else {
    this->ProbePlainService(std::move(callback));
  }
}

void Backend::ProbeEngine(std::optional<std::uint64_t> incarnation,
                          CrashCallback callback) {
  this->engine->ReadState([incarnation, callback = std::move(callback)](
                              const Outcome<EngineState>& state) {
    if (!state.Ok()) {
      callback(state.GetError().kind == ErrorKind::kUnavailable);
      return;
    }
    callback(incarnation && state.Value().incarnation != *incarnation);
  });
}

void Backend::ProbePlainService(CrashCallback callback) {
  HttpClientRequest request;
  request.url = this->base_url + "/healthz";
  request.timeout = kProbeTimeout;
  request.connect_timeout = kConnectTimeout;
  request.fresh_connection = true;
  this->client.Fetch(
      std::move(request),
      [callback = std::move(callback)](const Outcome<HttpResponse>& response) {
        callback(!response.Ok() &&
                 response.GetError().kind == ErrorKind::kUnavailable);
      });
}

}  // namespace carobbank
