// One attempt: one signed request to one sidecar, with its streamed response.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibRouting/routing.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

// "<oldest>-<newest>"; an open side is empty.
std::string VersionRangeText(const VersionRange& range);

// What the sidecar receives in headers beside the request itself.
struct WorkMetadata {
  std::string service;
  std::string request_id;
  std::string attempt_id;
  std::string sample_id;
  std::string digest;
  VersionRange versions;
  std::uint64_t expected_tokens = 0;
  Milliseconds slack{0};
  // Must run with no other request on the server, because the digest has
  // crashed a server before.
  bool exclusive = false;
  // A duplicate of a straggler, which starts only on an idle server.
  bool duplicate = false;
  // The sidecar sends comment lines while the response is pending, so that an
  // idle timeout detects a broken link. Otherwise only the deadline ends the
  // exchange.
  bool kept_alive = false;
  WallMilliseconds deadline_ms = 0;
  std::uint64_t configuration_offset = 0;
};

struct AttemptTarget {
  std::string instance;
  // Address of the sidecar, such as "127.0.0.1:9001".
  std::string address;
};

// Why an attempt ended without a complete response.
struct AttemptFailure {
  Problem problem;
  // The sidecar was unreachable or stopped responding.
  bool link_failed = false;
  // The backend server crashed while it ran this request.
  bool backend_crashed = false;
};

// The load that the sidecar reported in a response's headers.
struct LoadHint {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_batch = 0;
};

struct AttemptHandlers {
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_done;
  std::function<void(const AttemptFailure& failure)> on_failure;
  std::function<void(const LoadHint& load)> on_load;
};

// Signs and sends requests to sidecars.
class AttemptSender {
 public:
  AttemptSender(HttpClient& client,
                const Clock& clock,
                const PeerProofSigner& signer,
                EventTimeline& timeline)
      : client(client), clock(clock), signer(signer), timeline(timeline) {}

  // Destroying the exchange cancels the attempt; the sidecar then cancels it
  // at its backend server. A non-idempotent request never shares a connection
  // that may have gone stale, because the transport could send it twice.
  [[nodiscard]] std::unique_ptr<HttpExchange> Start(
      const AttemptTarget& target,
      const WorkMetadata& metadata,
      const HttpRequest& request,
      bool idempotent,
      AttemptHandlers handlers);

 private:
  void ObserveTime(const HttpHeaders& headers);

  HttpClient& client;
  const Clock& clock;
  const PeerProofSigner& signer;
  EventTimeline& timeline;
};

// Whether the sidecar itself refused the request: the header
// X-Carobbank-Refusal distinguishes such a response from a backend server's.
bool IsSidecarRefusal(const HttpHeaders& headers);

// The problem for a failed exchange: `not_run` only if nothing was sent.
Problem ProblemOfFailure(const HttpClientFailure& failure);

}  // namespace carobbank
