// Converts service documents to scheduler policies.

#include "Sidecar/service_policies.h"

#include <algorithm>

namespace carobbank {

PriorityClass PriorityClassOf(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kLive:
      return PriorityClass::kLive;
    case ServiceClass::kTraining:
      return PriorityClass::kTraining;
    case ServiceClass::kBackground:
      return PriorityClass::kBackground;
  }
  return PriorityClass::kBackground;
}

std::vector<ServicePolicy> PoliciesOf(const ConfigurationState& configuration,
                                      std::string_view pool,
                                      std::size_t pool_size) {
  std::vector<ServicePolicy> policies;
  for (const auto& [name, service] : configuration.services) {
    const ServiceDocument& document = service->document;
    if (document.pool != pool || document.retired) {
      continue;
    }
    ServicePolicy policy;
    policy.service = name;
    policy.priority_class = PriorityClassOf(document.service_class);
    policy.weight =
        static_cast<double>(std::max<std::int64_t>(1, document.share));
    policy.tokens_per_second =
        static_cast<double>(document.limits.tokens_per_s) /
        static_cast<double>(std::max<std::size_t>(1, pool_size));
    policy.max_queued =
        static_cast<std::uint32_t>(document.limits.queue_length);
    policies.push_back(std::move(policy));
  }
  return policies;
}

}  // namespace carobbank
