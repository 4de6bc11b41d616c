// The table of roles.

#include "StandIns/stand_in_factory.h"

#include <algorithm>
#include <array>
#include <utility>

#include "StandIns/engine_stand_in.h"
#include "StandIns/instance_list_stand_in.h"
#include "StandIns/log_stand_in.h"
#include "StandIns/plain_service_stand_in.h"
#include "StandIns/weight_store_stand_in.h"

namespace carobbank {

namespace {

template <typename Role>
std::unique_ptr<StandIn> Make(EventLoop& loop, StandInOptions options) {
  return std::make_unique<Role>(loop, std::move(options));
}

using Factory = std::unique_ptr<StandIn> (*)(EventLoop&, StandInOptions);

constexpr std::array<std::string_view, 5> kRoles = {
    "log", "instances", "weights", "engine", "plain"};
constexpr std::array<Factory, kRoles.size()> kFactories = {
    Make<LogStandIn>, Make<InstanceListStandIn>, Make<WeightStoreStandIn>,
    Make<EngineStandIn>, Make<PlainServiceStandIn>};

}  // namespace

std::span<const std::string_view> StandInRoles() {
  return kRoles;
}

Result<std::unique_ptr<StandIn>> CreateStandIn(std::string_view role,
                                               EventLoop& loop,
                                               StandInOptions options) {
  const auto found = std::ranges::find(kRoles, role);
  if (found == kRoles.end()) {
    return Fail(ErrorKind::kNotFound,
                "unknown stand-in role " + std::string(role),
                "use log, instances, weights, engine or plain");
  }
  const auto index = static_cast<std::size_t>(found - kRoles.begin());
  return kFactories[index](loop, std::move(options));
}

}  // namespace carobbank
