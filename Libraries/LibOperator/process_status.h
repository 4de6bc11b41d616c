// The status page (GET /status) of an entry or a sidecar. Private to
// LibOperator.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibOperator/environment.h"

namespace carobbank {

Outcome<Json::Value> FetchStatus(OperatorEnvironment& environment,
                                 std::string_view url,
                                 std::string_view token);

// The offset and digest of the configuration in force; kNoRevision and "" when
// the page has none.
std::int64_t ConfigurationOffset(const Json::Value& status);
std::string ConfigurationDigest(const Json::Value& status);

// The text output of `carobbank status`: configuration per process, services
// with their shares, queues, servers, open claims and quarantine.
std::string StatusText(const Json::Value& merged);

}  // namespace carobbank
