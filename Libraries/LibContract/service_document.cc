// The field tables of service documents, and the rules that span several
// fields.

#include "LibContract/service_document.h"

#include <array>
#include <set>

#include "LibContract/field_codecs.h"

namespace carobbank {

namespace {

constexpr std::int64_t kMaxVersion = 1'000'000'000'000;
constexpr std::int64_t kSecondsPerDay = 86'400;

constexpr std::array kKinds = {
    ChoiceName<ServiceKind>{ServiceKind::kModel, "model"},
    ChoiceName<ServiceKind>{ServiceKind::kPlain, "plain"},
};

constexpr std::array kClasses = {
    ChoiceName<ServiceClass>{ServiceClass::kLive, "live"},
    ChoiceName<ServiceClass>{ServiceClass::kTraining, "training"},
    ChoiceName<ServiceClass>{ServiceClass::kBackground, "background"},
};

constexpr std::array kSwaps = {
    ChoiceName<SwapStrategy>{SwapStrategy::kWait, "wait"},
    ChoiceName<SwapStrategy>{SwapStrategy::kInterrupt, "interrupt"},
    ChoiceName<SwapStrategy>{SwapStrategy::kRolling, "rolling"},
};

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

}  // namespace

template <>
const std::vector<Field<VersionRules>>& FieldsOf() {
  using S = VersionRules;
  static const std::vector<Field<S>> fields = {
      {"staleness_bound", kOptional, "versions",
       "how many versions before the requested one a sample may come from",
       Integer(&S::staleness_bound, 0, 100)},
      {"pinned", kOptional, "version",
       "the only version that may serve requests; 0: any",
       Integer(&S::pinned, 0, kMaxVersion)},
      {"minimum", kOptional, "version",
       "the lowest version that may serve requests; 0: any",
       Integer(&S::minimum, 0, kMaxVersion)},
  };
  return fields;
}

template <>
const std::vector<Field<ServiceLimits>>& FieldsOf() {
  using S = ServiceLimits;
  static const std::vector<Field<S>> fields = {
      {"concurrency", kOptional, "attempts",
       "concurrent attempts at backend servers through one entry",
       Integer(&S::concurrency, 1, 100'000)},
      {"tokens_per_s", kOptional, "tokens/s",
       "tokens through one entry; 0: limited only by the share",
       Integer(&S::tokens_per_s, 0, 100'000'000)},
      {"requests_per_s", kOptional, "requests/s",
       "requests through one entry; 0: limited only by the share",
       Integer(&S::requests_per_s, 0, 1'000'000)},
      {"body_bytes", kOptional, "bytes", "largest request body",
       Integer(&S::body_bytes, 1, 67'108'864)},
      {"deadline_ms", kOptional, "ms",
       "longest deadline of a request, and the default when its caller sets "
       "none",
       Integer(&S::deadline_ms, 1, 3'600'000)},
      {"queue_length", kOptional, "attempts",
       "attempts that may wait at one sidecar",
       Integer(&S::queue_length, 1, 100'000)},
      {"max_tokens", kOptional, "tokens", "longest response",
       Integer(&S::max_tokens, 1, 1'000'000)},
      {"sample_buffer_bytes", kOptional, "bytes",
       "finished samples that one entry buffers while the log is unreachable",
       Integer(&S::sample_buffer_bytes, 65'536, 1'073'741'824)},
  };
  return fields;
}

template <>
const std::vector<Field<RetryRules>>& FieldsOf() {
  using S = RetryRules;
  static const std::vector<Field<S>> fields = {
      {"budget_ratio", kOptional, "retries per request",
       "retries allowed for each first attempt, across the service",
       Real(&S::budget_ratio, 0, 1)},
      {"max_attempts", kOptional, "attempts",
       "attempts at one request, including the first",
       Integer(&S::max_attempts, 1, 10)},
      {"backoff_ms", kOptional, "ms",
       "delay before the first retry; doubles, with jitter",
       Integer(&S::backoff_ms, 1, 60'000)},
      {"max_backoff_ms", kOptional, "ms",
       "longest delay before a retry; at least backoff_ms",
       Integer(&S::max_backoff_ms, 1, 60'000)},
  };
  return fields;
}

template <>
const std::vector<Field<RepeatableRule>>& FieldsOf() {
  using S = RepeatableRule;
  static const std::vector<Field<S>> fields = {
      {"method", kRequired, "", "method of calls that may be repeated",
       Text(&S::method, kMethodRule)},
      {"path_prefix", kRequired, "",
       "prefix of their path, complete segments only",
       Text(&S::path_prefix, kPathPrefixRule)},
  };
  return fields;
}

template <>
const std::vector<Field<IdempotencyRules>>& FieldsOf() {
  using S = IdempotencyRules;
  static const std::vector<Field<S>> fields = {
      {"repeatable", kOptional, "",
       "calls of a plain service that may run more than once; all others run "
       "at most once",
       List(&S::repeatable, 0, 100)},
      {"key_header", kOptional, "",
       "request header that carries the idempotency key",
       Text(&S::key_header, kHeaderNameRule)},
      {"key_window_s", kOptional, "s",
       "how long after its issue a key is accepted; shorter than half of the "
       "log's retention",
       Integer(&S::key_window_s, 1, 7 * kSecondsPerDay)},
  };
  return fields;
}

template <>
const std::vector<Field<CallerCredential>>& FieldsOf() {
  using S = CallerCredential;
  static const std::vector<Field<S>> fields = {
      {"name", kRequired, "", "name of the caller; unique within the document",
       Text(&S::name, kNameRule)},
      {"token_sha256", kRequired, "", "SHA-256 of the caller's bearer token",
       Text(&S::token_sha256, kSha256Rule)},
  };
  return fields;
}

template <>
const std::vector<Field<ServiceDocument>>& FieldsOf() {
  using S = ServiceDocument;
  static const std::vector<Field<S>> fields = {
      {"name", kRequired, "", "the service's name, unique over all teams",
       Text(&S::name, kNameRule)},
      {"team", kRequired, "", "the team that owns it; never changes",
       Text(&S::team, kNameRule)},
      {"kind", kRequired, "",
       "whether model engines or a plain service serve it",
       Choice(&S::kind, kKinds)},
      {"pool", kRequired, "", "the backend servers that serve it",
       Text(&S::pool, kNameRule)},
      {"model", kOptional, "", "model name; required for kind model",
       Text(&S::model, kOptionalNameRule)},
      {"share", kOptional, "parts",
       "share of the pool relative to the other services of its class",
       Integer(&S::share, 1, 1'000'000)},
      {"class", kRequired, "",
       "priority: live before training, training before background",
       Choice(&S::service_class, kClasses)},
      {"versions", kOptional, "", "weight versions that may serve requests",
       Nested(&S::versions)},
      {"limits", kOptional, "", "limits on the service's requests",
       Nested(&S::limits)},
      {"retry", kOptional, "", "retries of failed attempts", Nested(&S::retry)},
      {"idempotency", kOptional, "", "repeatable calls and idempotency keys",
       Nested(&S::idempotency)},
      {"swap", kOptional, "",
       "what happens to running generations when new weights arrive",
       Choice(&S::swap, kSwaps)},
      {"callers", kRequired, "", "who may call it",
       List(&S::callers, 1, 1'000)},
      {"drain_deadline_s", kOptional, "s",
       "how long its requests may continue at a leaving backend server",
       Integer(&S::drain_deadline_s, 1, 3'600)},
      {"quiet", kOptional, "",
       "its requests appear in counters only, never in timelines or log lines",
       Boolean(&S::quiet)},
      {"retired", kOptional, "",
       "serves no requests; the name stays reserved for its team",
       Boolean(&S::retired)},
  };
  return fields;
}

namespace {

// The position of a cross-field issue: the member, or the map when the member
// is missing.
YAML::Mark LocationOf(const YAML::Node& map, const char* key) {
  const YAML::Node member = map.IsMap() ? map[key] : YAML::Node();
  return member.IsDefined() && !member.Mark().is_null() ? member.Mark()
                                                        : map.Mark();
}

YAML::Mark LocationOf(const YAML::Node& map,
                      const char* outer,
                      const char* key) {
  const YAML::Node member = map[outer];
  return member.IsDefined() && member.IsMap() ? LocationOf(member, key)
                                              : map.Mark();
}

void CheckKind(const ServiceDocument& document,
               const YAML::Node& node,
               YamlDiagnostics& diagnostics) {
  if (document.kind == ServiceKind::kModel) {
    if (document.model.empty()) {
      diagnostics.Report(LocationOf(node, "model"), "model", "missing",
                         "name the model that the engines serve");
    }
    if (!document.idempotency.repeatable.empty()) {
      diagnostics.Report(LocationOf(node, "idempotency"),
                         "idempotency.repeatable",
                         "requests to a model service are always repeatable",
                         "remove the list, or use kind: plain");
    }
    return;
  }
  if (!document.model.empty()) {
    diagnostics.Report(LocationOf(node, "model"), "model",
                       "a plain service has no model",
                       "remove the model, or use kind: model");
  }
  if (document.service_class == ServiceClass::kTraining) {
    diagnostics.Report(LocationOf(node, "class"), "class",
                       "a plain service can't have class training",
                       "use live or background");
  }
}

void CheckVersions(const ServiceDocument& document,
                   const YAML::Node& node,
                   YamlDiagnostics& diagnostics) {
  const VersionRules& versions = document.versions;
  if (versions.pinned != 0 && versions.pinned < versions.minimum) {
    diagnostics.Report(LocationOf(node, "versions", "pinned"),
                       "versions.pinned",
                       "below versions.minimum, so no version is allowed",
                       "raise pinned or lower minimum");
  }
}

void CheckRetry(const ServiceDocument& document,
                const YAML::Node& node,
                YamlDiagnostics& diagnostics) {
  if (document.retry.max_backoff_ms < document.retry.backoff_ms) {
    diagnostics.Report(LocationOf(node, "retry", "max_backoff_ms"),
                       "retry.max_backoff_ms", "below retry.backoff_ms",
                       "raise max_backoff_ms to at least backoff_ms");
  }
}

void CheckCallers(const ServiceDocument& document,
                  const YAML::Node& node,
                  YamlDiagnostics& diagnostics) {
  std::set<std::string> names;
  std::set<std::string> tokens;
  for (std::size_t index = 0; index < document.callers.size(); ++index) {
    const CallerCredential& caller = document.callers[index];
    const std::string key = "callers[" + std::to_string(index) + "]";
    const YAML::Mark mark = node["callers"][index].Mark();
    if (!names.insert(caller.name).second) {
      diagnostics.Report(mark, key + ".name", "given twice",
                         "give each caller a unique name");
    }
    if (!tokens.insert(caller.token_sha256).second) {
      diagnostics.Report(mark, key + ".token_sha256", "given twice",
                         "give each caller a unique token");
    }
  }
}

bool IsUnderPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

}  // namespace

std::string_view ServiceClassName(ServiceClass service_class) {
  return kClasses[static_cast<std::size_t>(service_class)].name;
}

std::string_view SwapStrategyName(SwapStrategy strategy) {
  return kSwaps[static_cast<std::size_t>(strategy)].name;
}

bool ServiceDocument::IsRepeatable(std::string_view method,
                                   std::string_view path) const {
  if (this->kind == ServiceKind::kModel) {
    return true;
  }
  for (const RepeatableRule& rule : this->idempotency.repeatable) {
    if (rule.method == method && IsUnderPathPrefix(path, rule.path_prefix)) {
      return true;
    }
  }
  return false;
}

ValidationResult<ServiceDocument> ParseServiceDocument(std::string_view file,
                                                       std::string_view text) {
  ValidationResult<ServiceDocument> result;
  YamlDiagnostics diagnostics(file, result.report);
  const auto node = ParseYamlMap(text, diagnostics);
  if (!node) {
    return result;
  }
  ReadFields(*node, "", diagnostics, result.value);
  if (result.Ok()) {
    CheckKind(result.value, *node, diagnostics);
    CheckVersions(result.value, *node, diagnostics);
    CheckRetry(result.value, *node, diagnostics);
    CheckCallers(result.value, *node, diagnostics);
  }
  return result;
}

std::string CanonicalText(const ServiceDocument& document) {
  YAML::Emitter emitter;
  WriteFields(document, emitter);
  return std::string(emitter.c_str(), emitter.size()) + "\n";
}

std::string DocumentDigest(const ServiceDocument& document) {
  return Sha256Hex(CanonicalText(document));
}

std::vector<FieldDescription> DescribeServiceDocument() {
  std::vector<FieldDescription> rows;
  DescribeFields<ServiceDocument>("", rows);
  return rows;
}

}  // namespace carobbank
