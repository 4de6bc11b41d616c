// Codec and delivery of engine loads.

#include "weight_loads.h"

#include <algorithm>
#include <utility>

#include "owner_directory.h"
#include "peer_request.h"
#include "refusals.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// A load takes about a second, so a later message would be of no use.
constexpr Milliseconds kCallTimeout{500};
// Bound of what a peer may announce.
constexpr Milliseconds kLongestLoad{10'000};

std::optional<WeightLoad> FromJson(const Json::Value& value) {
  if (!value.isObject() || !value["remaining_ms"].isInt64()) {
    return std::nullopt;
  }
  WeightLoad load;
  load.server_id = JsonString(value, "server");
  load.model = JsonString(value, "model");
  load.version = JsonInteger(value, "version");
  load.remaining = std::clamp(Milliseconds(value["remaining_ms"].asInt64()),
                              Milliseconds(0), kLongestLoad);
  if (load.server_id.empty() || load.version <= 0) {
    return std::nullopt;
  }
  return load;
}

}  // namespace

std::string EncodeWeightLoads(std::span<const WeightLoad> loads) {
  Json::Value body;
  body["loads"] = Json::arrayValue;
  for (const WeightLoad& load : loads) {
    Json::Value value;
    value["server"] = load.server_id;
    value["model"] = load.model;
    value["version"] = Json::Int64(load.version);
    value["remaining_ms"] = Json::Int64(load.remaining.count());
    body["loads"].append(std::move(value));
  }
  return WriteJson(body);
}

std::optional<std::vector<WeightLoad>> DecodeWeightLoads(
    std::string_view json) {
  const std::optional<Json::Value> body = ParseJsonObject(json);
  if (!body || !(*body)["loads"].isArray()) {
    return std::nullopt;
  }
  std::vector<WeightLoad> loads;
  for (const Json::Value& value : (*body)["loads"]) {
    if (std::optional<WeightLoad> load = FromJson(value)) {
      loads.push_back(std::move(*load));
    }
  }
  return loads;
}

WeightLoads::WeightLoads(GatewayEnvironment& environment,
                         OwnerDirectory& owners,
                         std::function<void()> on_ended)
    : environment(environment), owners(owners), on_ended(std::move(on_ended)) {}

WeightLoads::~WeightLoads() {
  *this->alive = false;
}

void WeightLoads::Announce(const WeightLoad& load) {
  this->Apply(load);
  this->pending.push_back(load);
  if (this->pending.size() > 1) {
    return;
  }
  this->environment.loop.Post([this, kept = this->alive] {
    if (*kept) {
      this->SendPending();
    }
  });
}

void WeightLoads::Apply(const WeightLoad& load) {
  this->environment.fleet.SetLoad(
      load.server_id, {load.model, load.version,
                       this->environment.clock.BootNow() + load.remaining});
  if (load.remaining.count() == 0) {
    this->on_ended();
  }
}

void WeightLoads::SendPending() {
  const std::string body = EncodeWeightLoads(std::exchange(this->pending, {}));
  for (const std::string& address : this->owners.OtherOwnerAddresses()) {
    this->environment.client.Fetch(
        MakePeerRequest(address, kPath, body, kCallTimeout),
        [](const Outcome<HttpResponse>& /*outcome*/) {
          // Without the message the owner's samples are refused and repeated.
        });
  }
}

HttpResponse WeightLoads::HandlePeer(const HttpRequest& request) {
  const auto loads = DecodeWeightLoads(request.body);
  if (!loads) {
    return ClientErrorResponse(kBadRequest, "invalid_loads",
                               "the loads are not in a known format",
                               "compare the versions of the instances");
  }
  for (const WeightLoad& load : *loads) {
    this->Apply(load);
  }
  return {kOk, {}, ""};
}

}  // namespace carobbank
