// Field tables and rules of the sidecar's settings.

#include <array>

#include "LibContract/settings_fields.h"

namespace carobbank {

namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr std::array kBackendKinds = {
    ChoiceName<BackendKind>{BackendKind::kEngine, "engine"},
    ChoiceName<BackendKind>{BackendKind::kPlain, "plain"},
};

constexpr std::array kSchedulingStrategies = {
    ChoiceName<SchedulingStrategy>{SchedulingStrategy::kFairShare,
                                   "fair_share"},
    ChoiceName<SchedulingStrategy>{SchedulingStrategy::kFifo, "fifo"},
};

}  // namespace

template <>
const std::vector<Field<BackendSettings>>& FieldsOf() {
  using S = BackendSettings;
  static const std::vector<Field<S>> fields = {
      {"url", kRequired, "", "URL of the backend server",
       Text(&S::url, kUrlRule)},
      {"kind", kRequired, "", "model engine or plain service",
       Choice(&S::kind, kBackendKinds)},
      {"model", kOptional, "", "model of the engine; required for kind engine",
       Text(&S::model, kOptionalNameRule)},
      {"checks_fencing", kOptional, "",
       "whether the engine refuses orders with an old fencing token",
       Boolean(&S::checks_fencing)},
  };
  return fields;
}

template <>
const std::vector<Field<SchedulingSettings>>& FieldsOf() {
  using S = SchedulingSettings;
  static const std::vector<Field<S>> fields = {
      {"strategy", kOptional, "", "order of the queue",
       Choice(&S::strategy, kSchedulingStrategies)},
      {"running", kOptional, "attempts",
       "concurrent attempts at the backend server; 0: the engine's batch size",
       Integer(&S::max_running, 0, 100'000)},
      {"queue_length", kOptional, "attempts",
       "attempts waiting in all queues together",
       Integer(&S::queue_length, 1, 1'000'000)},
      {"live_headroom", kOptional, "attempts",
       "slots at the backend server that training never uses",
       Integer(&S::live_headroom, 0, 1'000)},
      {"live_slowdown", kOptional, "",
       "longest time per live token relative to a batch without training; "
       "lower favours live, higher favours trainers",
       Real(&S::live_slowdown, 1.0, 100.0)},
  };
  return fields;
}

template <>
const std::vector<Field<LeaseSettings>>& FieldsOf() {
  using S = LeaseSettings;
  static const std::vector<Field<S>> fields = {
      {"duration_ms", kOptional, "ms", "how long the order lease lasts",
       Integer(&S::duration_ms, 100, 600'000)},
      {"renew_ms", kOptional, "ms", "time between renewals",
       Integer(&S::renew_ms, 10, 600'000)},
      {"margin_ms", kOptional, "ms",
       "orders stop this long before the lease ends; renew_ms and margin_ms "
       "together stay below duration_ms",
       Integer(&S::margin_ms, 0, 600'000)},
  };
  return fields;
}

template <>
const std::vector<Field<SidecarSettings>>& FieldsOf() {
  using S = SidecarSettings;
  static const std::vector<Field<S>> fields = {
      {"place", kRequired, "", "location and listening address of the process",
       Nested(&S::place)},
      {"pool", kRequired, "", "the pool of the backend server",
       Text(&S::pool, kNameRule)},
      {"backend", kRequired, "", "the backend server beside this sidecar",
       Nested(&S::backend)},
      {"platform", kRequired, "", "the platform's services",
       Nested(&S::platform)},
      {"peer", kRequired, "", "secrets between carobbank's own processes",
       Nested(&S::peer)},
      {"log", kOptional, "", "log lines and timeline", Nested(&S::log)},
      {"limits", kOptional, "", "bounds of what entries may send",
       Nested(&S::limits)},
      {"scheduling", kOptional, "", "the queue in front of the backend server",
       Nested(&S::scheduling)},
      {"lease", kOptional, "", "the lease for issuing orders to the engine",
       Nested(&S::lease)},
      {"operator_token_sha256", kOptional, "",
       "SHA-256 of the operators' bearer token for /status and /timeline; "
       "without one, access is open",
       Text(&S::operator_token_sha256, kOptionalSha256Rule)},
      {"drain_deadline_s", kOptional, "s",
       "how long attempts in progress may continue after SIGTERM",
       Integer(&S::drain_deadline_s, 1, 3'600)},
      {"seed", kOptional, "",
       "seed of random choices; 0: a seed from the system",
       Integer(&S::seed, 0, std::numeric_limits<std::int64_t>::max())},
  };
  return fields;
}

namespace {

void CheckBackend(const BackendSettings& backend,
                  const YAML::Node& node,
                  YamlDiagnostics& diagnostics) {
  const bool is_engine = backend.kind == BackendKind::kEngine;
  if (is_engine && backend.model.empty()) {
    diagnostics.Report(node["backend"].Mark(), "backend.model", "missing",
                       "name the model that the engine serves");
  }
  if (!is_engine && !backend.model.empty()) {
    diagnostics.Report(node["backend"].Mark(), "backend.model",
                       "a plain service has no model", "remove it");
  }
}

void CheckLease(const LeaseSettings& lease,
                const YAML::Node& node,
                YamlDiagnostics& diagnostics) {
  if (lease.renew_ms + lease.margin_ms < lease.duration_ms) {
    return;
  }
  const YAML::Node member = node["lease"];
  diagnostics.Report(member.IsDefined() ? member.Mark() : node.Mark(),
                     "lease.duration_ms",
                     "not above renew_ms and margin_ms together",
                     "lengthen duration_ms, or shorten the other two");
}

}  // namespace

std::string_view SchedulingStrategyName(SchedulingStrategy strategy) {
  return kSchedulingStrategies[static_cast<std::size_t>(strategy)].name;
}

ValidationResult<SidecarSettings> ParseSidecarSettings(std::string_view file,
                                                       std::string_view text) {
  ValidationResult<SidecarSettings> result;
  YamlDiagnostics diagnostics(file, result.report);
  const auto node = ParseYamlMap(text, diagnostics);
  if (!node) {
    return result;
  }
  ReadFields(*node, "", diagnostics, result.value);
  if (result.Ok()) {
    CheckPeerSecrets(result.value.peer, *node, diagnostics);
    CheckBackend(result.value.backend, *node, diagnostics);
    CheckLease(result.value.lease, *node, diagnostics);
  }
  return result;
}

std::vector<FieldDescription> DescribeSidecarSettings() {
  std::vector<FieldDescription> rows;
  DescribeFields<SidecarSettings>("", rows);
  return rows;
}

}  // namespace carobbank
