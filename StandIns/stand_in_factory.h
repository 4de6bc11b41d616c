// Creates a stand-in from its role's name.

#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "StandIns/stand_in.h"

namespace carobbank {

// "log", "instances", "weights", "engine", "plain".
std::span<const std::string_view> StandInRoles();

// The stand-in isn't listening yet. Fails with kNotFound for an unknown role.
Result<std::unique_ptr<StandIn>> CreateStandIn(std::string_view role,
                                               EventLoop& loop,
                                               StandInOptions options);

}  // namespace carobbank
