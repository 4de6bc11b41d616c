// Codec and fold of the gateways' loads.

#include "LibLedger/service_loads.h"

namespace carobbank {

namespace {

constexpr std::string_view kPrefix = "l/";
// Members of a row.
constexpr Json::ArrayIndex kService = 0;
constexpr Json::ArrayIndex kDataCenter = 1;
constexpr Json::ArrayIndex kRequests = 2;
constexpr Json::ArrayIndex kRowSize = 3;

}  // namespace

KeyedRecord EncodeServiceLoads(std::string_view instance,
                               const ServiceLoads& loads) {
  Json::Value value;
  value["loads"] = Json::Value(Json::arrayValue);
  for (const auto& [location, requests] : loads) {
    Json::Value row(Json::arrayValue);
    row.append(location.service);
    row.append(location.data_center);
    row.append(Json::Int64(requests));
    value["loads"].append(std::move(row));
  }
  return {std::string(kPrefix) + std::string(instance), WriteJson(value)};
}

std::optional<ServiceLoads> DecodeServiceLoads(std::string_view value) {
  const std::optional<Json::Value> object = ParseJsonObject(value);
  if (!object || !(*object)["loads"].isArray()) {
    return std::nullopt;
  }
  ServiceLoads loads;
  for (const Json::Value& row : (*object)["loads"]) {
    if (!row.isArray() || row.size() != kRowSize || !row[kService].isString() ||
        !row[kDataCenter].isString() || !row[kRequests].isInt64()) {
      return std::nullopt;
    }
    loads[{row[kService].asString(), row[kDataCenter].asString()}] =
        row[kRequests].asInt64();
  }
  return loads;
}

void ServiceLoadFold::Apply(const KeyedRecord& record, MonotonicTime now) {
  if (!record.key.starts_with(kPrefix)) {
    return;
  }
  if (record.value.empty()) {
    this->gateways.erase(record.key);
    return;
  }
  if (std::optional<ServiceLoads> loads = DecodeServiceLoads(record.value)) {
    this->gateways[record.key] = {now, std::move(*loads)};
  }
}

ServiceLoads ServiceLoadFold::Sum(MonotonicTime now) const {
  ServiceLoads sum;
  for (const auto& [key, gateway] : this->gateways) {
    if (now - gateway.read_at > kValid) {
      continue;
    }
    for (const auto& [location, requests] : gateway.loads) {
      sum[location] += requests;
    }
  }
  return sum;
}

std::vector<KeyedRecord> ServiceLoadFold::Deletions(MonotonicTime now) const {
  std::vector<KeyedRecord> deletions;
  for (const auto& [key, gateway] : this->gateways) {
    if (now - gateway.read_at > kKept) {
      deletions.push_back({key, ""});
    }
  }
  return deletions;
}

}  // namespace carobbank
