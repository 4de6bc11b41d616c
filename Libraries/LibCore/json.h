// JSON text to and from JsonCpp values, with typed errors and safe access.

#pragma once

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/error.h"

namespace carobbank {

// Strict: one value, no comments, no trailing text, no duplicate keys.
// Fails with kInvalidArgument that names the first problem.
Result<Json::Value> ParseJson(std::string_view text);

// The text's JSON object; nothing when the text is not valid JSON or not an
// object.
std::optional<Json::Value> ParseJsonObject(std::string_view text);

// One line, no white space; keys in alphabetical order.
std::string WriteJson(const Json::Value& value);

// An array of a container's integers, in the container's order.
template <typename Integers>
Json::Value IntegersToJson(const Integers& integers) {
  Json::Value array(Json::arrayValue);
  for (const std::int64_t integer : integers) {
    array.append(Json::Int64(integer));
  }
  return array;
}

// A member of an object; `fallback` when the member is missing or mistyped.
std::string JsonString(const Json::Value& object,
                       const char* key,
                       std::string_view fallback = "");
std::int64_t JsonInteger(const Json::Value& object,
                         const char* key,
                         std::int64_t fallback = 0);
bool JsonBoolean(const Json::Value& object, const char* key, bool fallback);

}  // namespace carobbank
