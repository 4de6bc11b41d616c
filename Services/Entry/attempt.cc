// Request headers, peer proof and failure classification of one attempt.

#include "attempt.h"

#include <charconv>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kConnectTimeout{1'000};
// Sidecars send a comment line at least every 5 s while a request waits or
// runs.
constexpr Milliseconds kIdleTimeout{15'000};
// Allows for a response that the sidecar sends just at the deadline.
constexpr Milliseconds kDeadlineGrace{500};
// Bodies are forwarded as they arrive, not held.
constexpr std::size_t kMaxForwardedBytes = 1024UL * 1024 * 1024;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

void AddWorkHeaders(HttpHeaders& headers, const WorkMetadata& metadata) {
  SetHeader(headers, "X-Carobbank-Service", metadata.service);
  SetHeader(headers, "X-Carobbank-Request", metadata.request_id);
  SetHeader(headers, "X-Carobbank-Attempt", metadata.attempt_id);
  SetHeader(headers, "X-Carobbank-Digest", metadata.digest);
  SetHeader(headers, "X-Carobbank-Versions",
            VersionRangeText(metadata.versions));
  SetHeader(headers, "X-Carobbank-Deadline",
            std::to_string(metadata.deadline_ms));
  SetHeader(headers, "X-Carobbank-Expected-Tokens",
            std::to_string(metadata.expected_tokens));
  SetHeader(headers, "X-Carobbank-Slack",
            std::to_string(metadata.slack.count()));
  SetHeader(headers, "X-Carobbank-Config",
            std::to_string(metadata.configuration_offset));
  if (!metadata.sample_id.empty()) {
    SetHeader(headers, "X-Carobbank-Sample", metadata.sample_id);
  }
  if (metadata.exclusive) {
    SetHeader(headers, "X-Carobbank-Alone", "1");
  }
  if (metadata.duplicate) {
    SetHeader(headers, "X-Carobbank-Duplicate", "1");
  }
}

LoadHint ParseLoadHint(std::string_view text) {
  LoadHint hint;
  std::uint32_t* const fields[] = {&hint.running, &hint.waiting,
                                   &hint.max_batch};
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  for (std::uint32_t* field : fields) {
    const auto parsed = std::from_chars(position, end, *field);
    position = parsed.ptr;
    if (position != end) {
      ++position;
    }
  }
  return hint;
}

}  // namespace

std::string VersionRangeText(const VersionRange& range) {
  constexpr VersionRange kOpen;
  std::string text;
  if (range.oldest != kOpen.oldest) {
    text += std::to_string(range.oldest);
  }
  text += "-";
  if (range.newest != kOpen.newest) {
    text += std::to_string(range.newest);
  }
  return text;
}

Problem ProblemOfFailure(const HttpClientFailure& failure) {
  Problem problem;
  problem.code = "link_failed";
  problem.detail = failure.error.message;
  if (failure.send_state == SendState::kNotSent) {
    problem.status = kServiceUnavailable;
    problem.execution = Execution::kNotRun;
    problem.remedy = "send the request again";
  } else {
    problem.status = kBadGateway;
    problem.execution = Execution::kMayHaveRun;
    problem.remedy = "repeat the request only if it is idempotent";
  }
  return problem;
}

bool IsSidecarRefusal(const HttpHeaders& headers) {
  return FindHeader(headers, "X-Carobbank-Refusal").has_value();
}

void AttemptSender::ObserveTime(const HttpHeaders& headers) {
  const auto text = FindHeader(headers, "X-Carobbank-Time");
  if (!text) {
    return;
  }
  const auto time = Capture([&] { return HybridTime::Parse(*text); });
  if (time.Ok()) {
    this->timeline.Observe(time.Value());
  }
}

std::unique_ptr<HttpExchange> AttemptSender::Start(const AttemptTarget& target,
                                                   const WorkMetadata& metadata,
                                                   const HttpRequest& request,
                                                   bool idempotent,
                                                   AttemptHandlers handlers) {
  const WallMilliseconds now = this->clock.WallNow();
  HttpClientRequest sent;
  sent.method = request.method;
  sent.url = "http://" + target.address + request.target;
  sent.headers = request.headers;
  sent.body = request.body;
  sent.connect_timeout = kConnectTimeout;
  sent.max_body_bytes = kMaxForwardedBytes;
  if (metadata.kept_alive) {
    sent.idle_timeout = kIdleTimeout;
  } else {
    sent.timeout = Milliseconds(metadata.deadline_ms - now) + kDeadlineGrace;
  }
  sent.fresh_connection = !idempotent;
  AddWorkHeaders(sent.headers, metadata);
  SetHeader(sent.headers, "X-Carobbank-Budget",
            std::to_string(metadata.deadline_ms - now));
  SetHeader(sent.headers, "X-Carobbank-Time", this->timeline.Stamp().Text());
  SetHeader(
      sent.headers, kPeerProofHeader,
      this->signer.Sign({request.method, request.target, request.body}, now));

  HttpClientHandlers client_handlers;
  client_handlers.on_headers = [this,
                                on_headers = std::move(handlers.on_headers),
                                on_load = std::move(handlers.on_load)](
                                   int status, const HttpHeaders& headers) {
    this->ObserveTime(headers);
    if (const auto load = FindHeader(headers, "X-Carobbank-Load"); load) {
      on_load(ParseLoadHint(*load));
    }
    on_headers(status, headers);
  };
  client_handlers.on_body = std::move(handlers.on_body);
  client_handlers.on_done = std::move(handlers.on_done);
  client_handlers.on_failure = [on_failure = std::move(handlers.on_failure)](
                                   const HttpClientFailure& failure) {
    AttemptFailure attempt_failure;
    attempt_failure.problem = ProblemOfFailure(failure);
    attempt_failure.link_failed = true;
    on_failure(attempt_failure);
  };
  return this->client.Start(std::move(sent), std::move(client_handlers));
}

}  // namespace carobbank
