// The scheduler's policies, as the documents in force state them.

#pragma once

#include <string_view>
#include <vector>

#include "LibContract/contract.h"
#include "LibScheduling/scheduling.h"

namespace carobbank {

PriorityClass PriorityClassOf(ServiceClass service_class);

// Policies of the services that this pool answers. Limits that a document
// states for the whole pool are divided by its number of servers.
std::vector<ServicePolicy> PoliciesOf(const ConfigurationState& configuration,
                                      std::string_view pool,
                                      std::size_t pool_size);

}  // namespace carobbank
