// Field tables of the groups that several programs' settings share.

#include "LibContract/settings_fields.h"

#include <array>

namespace carobbank {

namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr std::array kLogFormats = {
    ChoiceName<LogFormat>{LogFormat::kText, "text"},
    ChoiceName<LogFormat>{LogFormat::kJson, "json"},
};

constexpr std::array kLogLevels = {
    ChoiceName<LogLevel>{LogLevel::kDebug, "debug"},
    ChoiceName<LogLevel>{LogLevel::kInfo, "info"},
    ChoiceName<LogLevel>{LogLevel::kWarning, "warning"},
    ChoiceName<LogLevel>{LogLevel::kError, "error"},
};

}  // namespace

template <>
const std::vector<Field<InstanceSettings>>& FieldsOf() {
  using S = InstanceSettings;
  static const std::vector<Field<S>> fields = {
      {"instance", kRequired, "", "this instance's id in the platform's list",
       Text(&S::instance, kInstanceRule)},
      {"data_center", kRequired, "", "the data center that the process runs in",
       Text(&S::data_center, kNameRule)},
      {"region", kRequired, "", "the region of the data center",
       Text(&S::region, kNameRule)},
      {"address", kOptional, "", "address to listen on",
       Text(&S::address, kAddressRule)},
      {"port", kOptional, "", "TCP port to listen on; 0: any free port",
       Integer(&S::port, 0, 65'535)},
  };
  return fields;
}

template <>
const std::vector<Field<PlatformSettings>>& FieldsOf() {
  using S = PlatformSettings;
  static const std::vector<Field<S>> fields = {
      {"log_url", kRequired, "", "the append-only log service",
       Text(&S::log_url, kUrlRule)},
      {"instance_list_url", kRequired, "", "the list of instances",
       Text(&S::instance_list_url, kUrlRule)},
      {"weight_store_url", kOptional, "", "the weight store",
       Text(&S::weight_store_url, kUrlRule)},
      {"log_retention_s", kOptional, "s", "how long the log keeps a record",
       Integer(&S::log_retention_s, 60, 31'536'000)},
  };
  return fields;
}

template <>
const std::vector<Field<PeerSecretSettings>>& FieldsOf() {
  using S = PeerSecretSettings;
  static const std::vector<Field<S>> fields = {
      {"secret", kOptional, "",
       "secret with which processes authenticate to each other; set this or "
       "secret_file",
       Text(&S::secret, kSecretRule)},
      {"secret_file", kOptional, "", "file whose first line is the secret",
       Text(&S::secret_file, kFileRule)},
      {"previous_secret", kOptional, "",
       "previous secret, accepted from peers while the secret is being "
       "replaced",
       Text(&S::previous_secret, kSecretRule)},
      {"previous_secret_file", kOptional, "",
       "file whose first line is the previous secret",
       Text(&S::previous_secret_file, kFileRule)},
  };
  return fields;
}

template <>
const std::vector<Field<LogSettings>>& FieldsOf() {
  using S = LogSettings;
  static const std::vector<Field<S>> fields = {
      {"format", kOptional, "", "format of log lines",
       Choice(&S::format, kLogFormats)},
      {"level", kOptional, "", "least severe lines that are written",
       Choice(&S::level, kLogLevels)},
      {"timeline_events", kOptional, "events",
       "timeline events retained in memory",
       Integer(&S::timeline_events, 16, 1'000'000)},
  };
  return fields;
}

template <>
const std::vector<Field<TrafficLimits>>& FieldsOf() {
  using S = TrafficLimits;
  static const std::vector<Field<S>> fields = {
      {"connections", kOptional, "connections",
       "concurrent accepted connections", Integer(&S::connections, 1, 100'000)},
      {"body_bytes", kOptional, "bytes", "largest request body",
       Integer(&S::body_bytes, 1'024, 67'108'864)},
      {"header_bytes", kOptional, "bytes", "largest request head",
       Integer(&S::header_bytes, 1'024, 1'048'576)},
      {"streams_per_caller", kOptional, "requests",
       "concurrent requests of one caller",
       Integer(&S::streams_per_caller, 1, 100'000)},
      {"read_timeout_ms", kOptional, "ms",
       "time within which a request must have arrived",
       Integer(&S::read_timeout_ms, 100, 600'000)},
      {"write_timeout_ms", kOptional, "ms",
       "how long a peer may accept no bytes of its response",
       Integer(&S::write_timeout_ms, 100, 600'000)},
      {"silent_timeout_ms", kOptional, "ms",
       "how long data may stay unacknowledged before the connection is closed",
       Integer(&S::silent_timeout_ms, 100, 600'000)},
  };
  return fields;
}

void CheckPeerSecrets(const PeerSecretSettings& peer,
                      const YAML::Node& node,
                      YamlDiagnostics& diagnostics) {
  const YAML::Mark mark = node["peer"].Mark();
  if (peer.secret.empty() == peer.secret_file.empty()) {
    diagnostics.Report(
        mark, "peer.secret",
        peer.secret.empty() ? "missing" : "given inline and as a file",
        "set exactly one of secret and secret_file");
  }
  if (!peer.previous_secret.empty() && !peer.previous_secret_file.empty()) {
    diagnostics.Report(mark, "peer.previous_secret",
                       "given inline and as a file",
                       "set one of previous_secret and previous_secret_file");
  }
}

}  // namespace carobbank
