// Field table of the gateway's settings.

#include "LibContract/settings_fields.h"

namespace carobbank {

namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr std::array kPlacementModes = {
    ChoiceName<SamplePlacementMode>{SamplePlacementMode::kLeastRequests,
                                    "least_requests"},
    ChoiceName<SamplePlacementMode>{SamplePlacementMode::kExpectedEnd,
                                    "expected_end"},
    ChoiceName<SamplePlacementMode>{SamplePlacementMode::kAuto, "auto"},
};

}  // namespace

template <>
const std::vector<Field<MachineSettings>>& FieldsOf() {
  using S = MachineSettings;
  static const std::vector<Field<S>> fields = {
      {"cores", kOptional, "cores", "CPU cores, or a fraction of one",
       Real(&S::cores, 0.01, 1'024)},
      {"link_mbps", kOptional, "Mbit/s",
       "bandwidth of the instance's network link",
       Real(&S::link_mbps, 1, 65'536)},
      {"memory_mb", kOptional, "MB", "memory of this process",
       Real(&S::memory_mb, 1, 1'048'576)},
  };
  return fields;
}

template <>
const std::vector<Field<GatewaySettings>>& FieldsOf() {
  using S = GatewaySettings;
  static const std::vector<Field<S>> fields = {
      {"instance", kRequired, "", "this instance's name",
       Text(&S::instance, kInstanceRule)},
      {"data_center", kRequired, "", "the data center that the process runs in",
       Text(&S::data_center, kNameRule)},
      {"listen", kRequired, "", "address for callers",
       Text(&S::listen, kEndpointRule)},
      {"ready_listen", kRequired, "",
       "address for the load balancer's readiness checks; also serves /metrics",
       Text(&S::ready_listen, kEndpointRule)},
      {"platform_address", kRequired, "", "the platform's log",
       Text(&S::platform_address, kEndpointRule)},
      {"peer_listen", kOptional, "", "address for queries from other gateways",
       Text(&S::peer_listen, kOptionalEndpointRule)},
      {"peers", kOptional, "", "gateways to query while the log is unreachable",
       Text(&S::peers, kEndpointListRule)},
      {"log", kOptional, "", "log lines", Nested(&S::log)},
      {"limits", kOptional, "", "bounds of what callers may send",
       Nested(&S::limits)},
      {"machine", kOptional, "",
       "resources that the platform gives this instance; the instances with "
       "the largest capacity own the job partitions",
       Nested(&S::machine)},
      {"job_partitions", kOptional, "partitions",
       "partitions of the topic of batch jobs; the same on every instance",
       Integer(&S::job_partitions, 1, 1'000)},
      {"follow_all_jobs", kOptional, "",
       "whether each instance reads all batch jobs instead of querying their "
       "owners",
       Boolean(&S::follow_all_jobs)},
      {"log_record_bytes", kOptional, "bytes", "largest record of the log",
       Integer(&S::log_record_bytes, 4'096, 16'777'216)},
      {"log_append_bytes", kOptional, "bytes", "largest append to the log",
       Integer(&S::log_append_bytes, 4'096, 67'108'864)},
      {"member_ttl_ms", kOptional, "ms",
       "an instance that is unresponsive for this long loses its partitions",
       Integer(&S::member_ttl_ms, 100, 600'000)},
      {"results_kept_s", kOptional, "s",
       "how long results stay readable after a job's submission",
       Integer(&S::results_kept_s, 1, 86'400)},
      {"order_lease_ms", kOptional, "ms",
       "delay before a new lease holder issues orders to servers",
       Integer(&S::order_lease_ms, 0, 600'000)},
      {"shutdown_grace_s", kOptional, "s", "time from SIGTERM to SIGKILL",
       Integer(&S::shutdown_grace_s, 1, 3'600)},
      {"allowed_version_lag", kOptional, "versions",
       "how many versions before the newest announced one a sample may come "
       "from",
       Integer(&S::allowed_version_lag, 0, 100)},
      {"placement", kOptional, "",
       "how the server of a sample is chosen; auto: by expected end for "
       "services whose servers differ in speed",
       Choice(&S::placement, kPlacementModes)},
      {"seed", kOptional, "",
       "seed of random choices; 0: a seed from the system",
       Integer(&S::seed, 0, std::numeric_limits<std::int64_t>::max())},
  };
  return fields;
}

ValidationResult<GatewaySettings> ParseGatewaySettings(std::string_view file,
                                                       std::string_view text) {
  ValidationResult<GatewaySettings> result;
  YamlDiagnostics diagnostics(file, result.report);
  const auto node = ParseYamlMap(text, diagnostics);
  if (node) {
    ReadFields(*node, "", diagnostics, result.value);
  }
  return result;
}

std::vector<FieldDescription> DescribeGatewaySettings() {
  std::vector<FieldDescription> rows;
  DescribeFields<GatewaySettings>("", rows);
  return rows;
}

}  // namespace carobbank
