// Converts settings to HTTP server and client options.

#include "LibProcess/http_options.h"

#include "LibProcess/logger.h"

namespace carobbank {

HttpServerOptions ServerOptionsOf(const InstanceSettings& instance,
                                  const TrafficLimits& limits) {
  HttpServerOptions options;
  options.address = instance.address;
  options.port = static_cast<std::uint16_t>(instance.port);
  options.max_header_bytes = static_cast<std::size_t>(limits.header_bytes);
  options.max_body_bytes = static_cast<std::size_t>(limits.body_bytes);
  options.max_connections = static_cast<std::size_t>(limits.connections);
  options.read_timeout = Milliseconds(limits.read_timeout_ms);
  options.write_timeout = Milliseconds(limits.write_timeout_ms);
  options.silent_timeout = Milliseconds(limits.silent_timeout_ms);
  return options;
}

HttpClientOptions ClientOptionsOf(const TrafficLimits& limits,
                                  MetricRegistry& metrics) {
  HttpClientOptions options;
  options.silent_timeout = Milliseconds(limits.silent_timeout_ms);
  options.on_limit_exceeded =
      [&metrics](const ResponseLimitExceeded& exceeded) {
        ReportResponseLimit(metrics, exceeded);
      };
  return options;
}

void ReportResponseLimit(MetricRegistry& metrics,
                         const ResponseLimitExceeded& exceeded) {
  const std::string limit(ResponseLimitName(exceeded.limit));
  metrics.GetCounter(metrics::kResponseLimits, {{"limit", limit}}).Add();
  WriteLog(LogLevel::kWarning,
           "response ended at a limit; its connection is closed",
           {{"url", exceeded.url}, {"limit", limit}});
}

}  // namespace carobbank
