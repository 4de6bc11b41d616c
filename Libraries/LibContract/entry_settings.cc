// Field tables and rules of the entry's settings.

#include <array>
#include <set>

#include "LibContract/settings_fields.h"

namespace carobbank {

namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr std::array kRoutingStrategies = {
    ChoiceName<RoutingStrategy>{RoutingStrategy::kLeastLoadedOfTwo,
                                "least_loaded_of_two"},
    ChoiceName<RoutingStrategy>{RoutingStrategy::kPrefixAffinity,
                                "prefix_affinity"},
    ChoiceName<RoutingStrategy>{RoutingStrategy::kLeastConnections,
                                "least_connections"},
    ChoiceName<RoutingStrategy>{RoutingStrategy::kRoundRobin, "round_robin"},
    ChoiceName<RoutingStrategy>{RoutingStrategy::kRandom, "random"},
};

}  // namespace

template <>
const std::vector<Field<DataCenterSettings>>& FieldsOf() {
  using S = DataCenterSettings;
  static const std::vector<Field<S>> fields = {
      {"name", kRequired, "", "a data center with backend servers or entries",
       Text(&S::name, kNameRule)},
      {"region", kRequired, "", "region of the data center",
       Text(&S::region, kNameRule)},
      {"latency_ms", kOptional, "ms", "one-way network latency from this entry",
       Real(&S::latency_ms, 0, 1'000)},
  };
  return fields;
}

template <>
const std::vector<Field<RoutingSettings>>& FieldsOf() {
  using S = RoutingSettings;
  static const std::vector<Field<S>> fields = {
      {"strategy", kOptional, "", "how a backend server is chosen",
       Choice(&S::strategy, kRoutingStrategies)},
      {"watched_servers", kOptional, "servers",
       "backend servers of each pool that this entry watches",
       Integer(&S::watched_servers, 1, 10'000)},
  };
  return fields;
}

template <>
const std::vector<Field<TlsSettings>>& FieldsOf() {
  using S = TlsSettings;
  static const std::vector<Field<S>> fields = {
      {"certificate_file", kOptional, "",
       "PEM certificate chain; TLS for callers when set",
       Text(&S::certificate_file, kFileRule)},
      {"private_key_file", kOptional, "", "PEM private key of the certificate",
       Text(&S::private_key_file, kFileRule)},
  };
  return fields;
}

template <>
const std::vector<Field<EntrySettings>>& FieldsOf() {
  using S = EntrySettings;
  static const std::vector<Field<S>> fields = {
      {"place", kRequired, "", "location and listening address of the process",
       Nested(&S::place)},
      {"platform", kRequired, "", "the platform's services",
       Nested(&S::platform)},
      {"peer", kRequired, "", "secrets between carobbank's own processes",
       Nested(&S::peer)},
      {"log", kOptional, "", "log lines and timeline", Nested(&S::log)},
      {"limits", kOptional, "", "bounds of what callers may send",
       Nested(&S::limits)},
      {"data_centers", kOptional, "",
       "data centers and the latency to each; unlisted ones count as far",
       List(&S::data_centers, 0, 100)},
      {"routing", kOptional, "", "choice of backend servers",
       Nested(&S::routing)},
      {"tls", kOptional, "", "TLS for connections from callers",
       Nested(&S::tls)},
      {"operator_token_sha256", kOptional, "",
       "SHA-256 of the operators' bearer token for /status and /timeline; "
       "without one, access is open",
       Text(&S::operator_token_sha256, kOptionalSha256Rule)},
      {"log_append_share_per_s", kOptional, "appends/s",
       "this entry's share of the log's append budget",
       Integer(&S::log_append_share_per_s, 1, 10'000)},
      {"drain_deadline_s", kOptional, "s",
       "how long requests in progress may continue after SIGTERM",
       Integer(&S::drain_deadline_s, 1, 3'600)},
      {"seed", kOptional, "",
       "seed of random choices; 0: a seed from the system",
       Integer(&S::seed, 0, std::numeric_limits<std::int64_t>::max())},
  };
  return fields;
}

namespace {

void CheckTls(const TlsSettings& tls,
              const YAML::Node& node,
              YamlDiagnostics& diagnostics) {
  if (tls.certificate_file.empty() == tls.private_key_file.empty()) {
    return;
  }
  diagnostics.Report(node["tls"].Mark(), "tls",
                     "only one of certificate_file and private_key_file is set",
                     "set both or none");
}

void CheckDataCenters(const EntrySettings& settings,
                      const YAML::Node& node,
                      YamlDiagnostics& diagnostics) {
  std::set<std::string> names;
  for (std::size_t index = 0; index < settings.data_centers.size(); ++index) {
    if (!names.insert(settings.data_centers[index].name).second) {
      diagnostics.Report(node["data_centers"][index].Mark(),
                         "data_centers[" + std::to_string(index) + "].name",
                         "given twice", "list each data center once");
    }
  }
}

}  // namespace

std::string_view RoutingStrategyName(RoutingStrategy strategy) {
  return kRoutingStrategies[static_cast<std::size_t>(strategy)].name;
}

ValidationResult<EntrySettings> ParseEntrySettings(std::string_view file,
                                                   std::string_view text) {
  ValidationResult<EntrySettings> result;
  YamlDiagnostics diagnostics(file, result.report);
  const auto node = ParseYamlMap(text, diagnostics);
  if (!node) {
    return result;
  }
  ReadFields(*node, "", diagnostics, result.value);
  if (result.Ok()) {
    CheckPeerSecrets(result.value.peer, *node, diagnostics);
    CheckTls(result.value.tls, *node, diagnostics);
    CheckDataCenters(result.value, *node, diagnostics);
  }
  return result;
}

std::vector<FieldDescription> DescribeEntrySettings() {
  std::vector<FieldDescription> rows;
  DescribeFields<EntrySettings>("", rows);
  return rows;
}

}  // namespace carobbank
