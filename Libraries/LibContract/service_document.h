// One service as its team declares it: its callers, the pool that serves it,
// and its share of the pool.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/validation.h"

namespace carobbank {

enum class ServiceKind { kModel, kPlain };

// In strict priority order: live before training, training before background.
enum class ServiceClass { kLive, kTraining, kBackground };

// How an engine treats running generations when it loads new weights.
enum class SwapStrategy {
  kWait,       // generations finish on the old version first
  kInterrupt,  // generations continue on the new version from the next token
  kRolling,    // as kWait, for a part of the pool at a time
};

std::string_view ServiceClassName(ServiceClass service_class);
std::string_view SwapStrategyName(SwapStrategy strategy);

struct VersionRules {
  // How many versions before the requested one a sample may come from.
  std::int64_t staleness_bound = 1;
  // The only version that may serve requests; 0: any version.
  std::int64_t pinned = 0;
  // The lowest version that may serve requests; 0: any version.
  std::int64_t minimum = 0;
};

struct ServiceLimits {
  // Concurrent attempts at backend servers through one entry.
  std::int64_t concurrency = 256;
  // 0: no explicit limit; the share still limits the service.
  std::int64_t tokens_per_s = 0;
  std::int64_t requests_per_s = 0;
  std::int64_t body_bytes = 1'048'576;
  // The longest deadline of a request, and the default for a request without
  // one.
  std::int64_t deadline_ms = 60'000;
  // Attempts queued at one sidecar.
  std::int64_t queue_length = 1'000;
  // The most tokens of one response.
  std::int64_t max_tokens = 16'384;
  // Finished samples of this service that one entry buffers while the log is
  // unreachable; generation slows down before the buffer is full.
  std::int64_t sample_buffer_bytes = 16'777'216;
};

struct RetryRules {
  // Retries allowed for each first attempt, over all requests of the service.
  double budget_ratio = 0.1;
  // First attempt included.
  std::int64_t max_attempts = 3;
  std::int64_t backoff_ms = 25;
  // Invariant of valid documents: at least backoff_ms.
  std::int64_t max_backoff_ms = 1'000;
};

// Requests with this method and a path under this prefix may run more than
// once.
struct RepeatableRule {
  std::string method;
  std::string path_prefix;
};

struct IdempotencyRules {
  // All other requests run at most once. Requests to a model service are always
  // repeatable.
  std::vector<RepeatableRule> repeatable;
  std::string key_header = "Idempotency-Key";
  // How long after its issue time a key is accepted; shorter than the log's
  // retention.
  std::int64_t key_window_s = 3'600;
};

struct CallerCredential {
  std::string name;
  // SHA-256 of the bearer token; the token itself appears nowhere.
  std::string token_sha256;
};

struct ServiceDocument {
  std::string name;
  std::string team;
  ServiceKind kind = ServiceKind::kModel;
  // The backend servers that serve it.
  std::string pool;
  // Model services only.
  std::string model;
  // Weight of the service's share of the pool, relative to the other services
  // of its class.
  std::int64_t share = 100;
  ServiceClass service_class = ServiceClass::kBackground;
  VersionRules versions;
  ServiceLimits limits;
  RetryRules retry;
  IdempotencyRules idempotency;
  SwapStrategy swap = SwapStrategy::kInterrupt;
  std::vector<CallerCredential> callers;
  // How long requests of this service may continue at a draining backend
  // server.
  std::int64_t drain_deadline_s = 60;
  // Requests appear in counters only, never in timelines or log lines.
  bool quiet = false;
  // Serves no requests; the name stays reserved for its team.
  bool retired = false;

  // Whether a request may run more than once.
  bool IsRepeatable(std::string_view method, std::string_view path) const;
};

inline constexpr std::size_t kMaxDocumentBytes = 256 * 1024;

// Parses and validates one document; `file` only names it in the issues.
ValidationResult<ServiceDocument> ParseServiceDocument(std::string_view file,
                                                       std::string_view text);

// Every field in a fixed order and form: equivalent documents have the same
// canonical text.
std::string CanonicalText(const ServiceDocument& document);
// SHA-256 of the canonical text, in hexadecimal.
std::string DocumentDigest(const ServiceDocument& document);

}  // namespace carobbank
