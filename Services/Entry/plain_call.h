// One request to a plain service: forwards the request and its response
// unchanged, retries only where a second execution is harmless, and otherwise
// runs the request at most once.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "call_environment.h"

namespace carobbank {

class PlainCall : public std::enable_shared_from_this<PlainCall> {
 public:
  // `path`: the target below "/plain/<service>", with its query.
  static void Begin(CallEnvironment& environment,
                    HttpRequest request,
                    std::string_view service,
                    std::string_view path,
                    std::shared_ptr<HttpResponder> responder);

  PlainCall(CallEnvironment& environment,
            AuthenticatedCall call,
            HttpRequest request,
            std::shared_ptr<HttpResponder> responder);

 private:
  // How often the request may reach a backend server.
  enum class Repetition {
    // Any number of times.
    kRepeatable,
    // At most once, guarded by a claim in the log.
    kKeyed,
    // At most once; nothing guards against a second call for the same request.
    kOnce,
  };

  void Start();
  // The claim to make, or the problem for which the key is refused.
  std::variant<KeyClaimRequest, Problem> ReadKey(std::string_view key) const;
  void ClaimKey(KeyClaimRequest request);
  void BeginAttempt();
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  void OnResponseEnd();
  void OnLinkFailure(const AttemptFailure& failure);
  void AfterFailure(const Problem& problem, AttemptOutcome outcome);
  bool ScheduleRetry(const Problem& problem);
  void Refuse(const Problem& problem);
  void SendStored(const StoredOutcome& outcome);
  void FinishKeyed();
  void EndAttempt(AttemptOutcome outcome);
  void End(EventKind kind, std::string detail);
  void Record(EventKind kind, std::string server, std::string detail);
  const ServiceDocument& Document() const {
    return this->call.service->document;
  }

  CallEnvironment& environment;
  AuthenticatedCall call;
  // The request as it is forwarded to the backend server.
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
  Repetition repetition = Repetition::kOnce;
  std::string request_id;
  std::string digest;
  WallMilliseconds deadline_ms = 0;
  MonotonicTime began{};

  // Set with kKeyed: the key and the attempt that won its claim.
  std::optional<IdempotencyKey> key;
  std::string attempt_id;

  AttemptTarget target;
  std::unique_ptr<HttpExchange> exchange;
  bool attempt_open = false;
  // The digest is suspect, so the attempt runs with no other request on its
  // server.
  bool exclusive = false;
  // An earlier attempt may have run.
  bool may_have_run = false;
  std::vector<std::string> excluded;
  std::uint32_t failures = 0;
  std::unique_ptr<Timer> retry_timer;

  int status = 0;
  bool refused_by_sidecar = false;
  HttpHeaders response_headers;
  // The body of a refusal, or of the complete response to a keyed request;
  // otherwise empty.
  std::string buffered;
  bool streaming = false;
  std::size_t unwritten = 0;
  bool ended = false;
};

}  // namespace carobbank
