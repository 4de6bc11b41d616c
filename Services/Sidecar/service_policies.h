// Derives the scheduler's policies from the service documents in force.

#pragma once

#include <string_view>
#include <vector>

#include "LibContract/contract.h"
#include "LibScheduling/scheduling.h"

namespace carobbank {

PriorityClass PriorityClassOf(ServiceClass service_class);

// Policies of the services that this pool serves. A document's token rate limit
// applies to the entire pool, so each server receives its fraction.
std::vector<ServicePolicy> PoliciesOf(const ConfigurationState& configuration,
                                      std::string_view pool,
                                      std::size_t pool_size);

}  // namespace carobbank
