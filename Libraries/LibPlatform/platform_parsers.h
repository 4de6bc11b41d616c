// Parsers of the responses of the platform's services. For any input the result
// is a value or kCorrupt; the parsers throw no exception.

#pragma once

#include <cstdint>
#include <string_view>

#include "LibPlatform/engine_control.h"
#include "LibPlatform/instance_list.h"
#include "LibPlatform/log_client.h"
#include "LibPlatform/weight_store.h"

namespace carobbank {

// {"offset": N}
Result<std::uint64_t> ParseAppendResponse(std::string_view text);

// A page of records. Offsets must be consecutive and lie within
// [first_retained, end).
Result<LogPage> ParseLogPage(std::string_view text);

Result<InstanceListing> ParseInstanceListing(std::string_view text);

// Sorts the versions in ascending order.
Result<ModelVersions> ParseModelVersions(std::string_view text);

Result<EngineState> ParseEngineState(std::string_view text);
Result<EngineLoad> ParseEngineLoad(std::string_view text);
Result<CacheEvents> ParseCacheEvents(std::string_view text);

}  // namespace carobbank
