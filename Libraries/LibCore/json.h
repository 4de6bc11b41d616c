// JSON text to and from JsonCpp values, with typed errors and safe access.

#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/error.h"

namespace carobbank {

// Strict: one value, no comments, no trailing text, no duplicate keys.
// Fails with kInvalidArgument that names the first problem.
Result<Json::Value> ParseJson(std::string_view text);

// One line, no white space; keys in alphabetical order.
std::string WriteJson(const Json::Value& value);

// Members of an object; the fallback stands in for a missing or mistyped one.
std::string JsonString(const Json::Value& object,
                       const char* key,
                       std::string_view fallback = "");
std::int64_t JsonInteger(const Json::Value& object,
                         const char* key,
                         std::int64_t fallback = 0);
bool JsonBoolean(const Json::Value& object, const char* key, bool fallback);

}  // namespace carobbank
