// JSON codec of requests for permits and their answers.

#include "permit_messages.h"

#include <cmath>

#include "LibCore/core.h"

namespace carobbank {

std::string EncodePermitRequest(const PermitRequest& request) {
  Json::Value value;
  value["gateway"] = request.gateway;
  value["server"] = request.server_id;
  value["server_start"] = Json::Int64(request.server_start);
  value["per_second"] = request.per_second;
  value["limit_age_ms"] = Json::Int64(request.limit_age.count());
  value["owed"] = request.owed;
  value["longest_wait_ms"] = Json::Int64(request.longest_wait.count());
  return WriteJson(value);
}

std::optional<PermitRequest> DecodePermitRequest(std::string_view json) {
  const std::optional<Json::Value> body = ParseJsonObject(json);
  if (!body || !(*body)["gateway"].isString() ||
      !(*body)["server"].isString() || !(*body)["server_start"].isInt64() ||
      !(*body)["per_second"].isNumeric() ||
      !(*body)["limit_age_ms"].isInt64() || !(*body)["owed"].isBool() ||
      !(*body)["longest_wait_ms"].isInt64()) {
    return std::nullopt;
  }
  PermitRequest request;
  request.gateway = (*body)["gateway"].asString();
  request.server_id = (*body)["server"].asString();
  request.server_start = (*body)["server_start"].asInt64();
  request.per_second = (*body)["per_second"].asDouble();
  request.limit_age = Milliseconds((*body)["limit_age_ms"].asInt64());
  request.owed = (*body)["owed"].asBool();
  request.longest_wait = Milliseconds((*body)["longest_wait_ms"].asInt64());
  const bool valid = std::isfinite(request.per_second) &&
                     request.per_second >= 0 && request.limit_age.count() >= 0;
  return valid ? std::optional(request) : std::nullopt;
}

Json::Value ToJson(const PermitAnswer& answer) {
  Json::Value value;
  value["granted"] = answer.granted;
  value["wait_ms"] = Json::Int64(answer.wait.count());
  value["gateways"] = Json::UInt64(answer.gateways);
  return value;
}

std::optional<PermitAnswer> DecodePermitAnswer(std::string_view json) {
  const std::optional<Json::Value> body = ParseJsonObject(json);
  if (!body || !(*body)["granted"].isBool() || !(*body)["wait_ms"].isInt64() ||
      !(*body)["gateways"].isUInt64()) {
    return std::nullopt;
  }
  PermitAnswer answer;
  answer.granted = (*body)["granted"].asBool();
  answer.wait = Milliseconds((*body)["wait_ms"].asInt64());
  answer.gateways = (*body)["gateways"].asUInt64();
  const bool valid = answer.wait.count() >= 0 && answer.gateways > 0;
  return valid ? std::optional(answer) : std::nullopt;
}

}  // namespace carobbank
