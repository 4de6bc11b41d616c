// One service as its team declares it: who may call it, what it is answered
// from, and its portion of the shared backend servers.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/validation.h"

namespace carobbank {

enum class ServiceKind { kModel, kPlain };

// Strict order: live goes before training, training before background.
enum class ServiceClass { kLive, kTraining, kBackground };

// What happens to generations that run when new weights arrive.
enum class SwapStrategy {
  kWait,       // they finish on the old version first
  kInterrupt,  // they go on under the new version from the next token
  kRolling,    // as kWait, a part of the pool at a time
};

std::string_view ServiceClassName(ServiceClass service_class);
std::string_view SwapStrategyName(SwapStrategy strategy);

struct VersionRules {
  // How many versions before the named one a sample may come from.
  std::int64_t staleness_bound = 1;
  // 0: none. Else the only version that answers.
  std::int64_t pinned = 0;
  // 0: none. Else the lowest version that answers.
  std::int64_t minimum = 0;
};

struct ServiceLimits {
  // Attempts at backend servers at once, over one entry.
  std::int64_t concurrency = 256;
  // 0: no limit of its own; the share still binds.
  std::int64_t tokens_per_s = 0;
  std::int64_t requests_per_s = 0;
  std::int64_t body_bytes = 1'048'576;
  // The longest deadline of one request, and the one taken when the caller
  // names none.
  std::int64_t deadline_ms = 60'000;
  // Attempts that wait at one sidecar.
  std::int64_t queue_length = 1'000;
  // The most tokens that one answer may have.
  std::int64_t max_tokens = 16'384;
  // Finished samples of this service that one entry holds while the log is
  // down; generation slows before it is full.
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

// Requests with this method, below this path, may be run more than once.
struct RepeatableRule {
  std::string method;
  std::string path_prefix;
};

struct IdempotencyRules {
  // Everything else runs at most once. Model work is always repeatable.
  std::vector<RepeatableRule> repeatable;
  std::string key_header = "Idempotency-Key";
  // A key is accepted this long after its issue time; shorter than the log's
  // retention.
  std::int64_t key_window_s = 3'600;
};

struct CallerCredential {
  std::string name;
  // SHA-256 of the bearer token; tokens themselves appear nowhere.
  std::string token_sha256;
};

struct ServiceDocument {
  std::string name;
  std::string team;
  ServiceKind kind = ServiceKind::kModel;
  // The backend servers that answer it.
  std::string pool;
  // Model services only.
  std::string model;
  // Portion of the pool in relation to the other services of its class.
  std::int64_t share = 100;
  ServiceClass service_class = ServiceClass::kBackground;
  VersionRules versions;
  ServiceLimits limits;
  RetryRules retry;
  IdempotencyRules idempotency;
  SwapStrategy swap = SwapStrategy::kInterrupt;
  std::vector<CallerCredential> callers;
  // How long requests of this service may go on at a leaving backend server.
  std::int64_t drain_deadline_s = 60;
  // Its requests appear in counters only, never in time lines or log lines.
  bool quiet = false;
  // Answers no request; the name stays with its team.
  bool retired = false;

  // Whether a request may be run more than once.
  bool IsRepeatable(std::string_view method, std::string_view path) const;
};

inline constexpr std::size_t kMaxDocumentBytes = 256 * 1024;

// Reads and checks one document; `file` only names it in the findings.
ValidationResult<ServiceDocument> ParseServiceDocument(std::string_view file,
                                                       std::string_view text);

// Every field in a fixed order and form: two documents that mean the same have
// the same canonical text.
std::string CanonicalText(const ServiceDocument& document);
// SHA-256 of the canonical text, in hexadecimal.
std::string DocumentDigest(const ServiceDocument& document);

}  // namespace carobbank
