// JsonCpp behind strict parsing and typed access.

#include "LibCore/json.h"

#include <memory>

namespace carobbank {

Result<Json::Value> ParseJson(std::string_view text) {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder made;
    Json::CharReaderBuilder::strictMode(&made.settings_);
    made.settings_["strictRoot"] = false;
    made.settings_["stackLimit"] = 64;
    return made;
  }();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(), &value,
                           &problems);
  } catch (const Json::Exception& exception) {
    // JsonCpp throws when the nesting passes stackLimit.
    problems = exception.what();
  }
  if (!parsed) {
    return Fail(ErrorKind::kInvalidArgument, "not valid JSON: " + problems,
                "send one JSON value, nested at most 64 deep");
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["emitUTF8"] = true;
    return made;
  }();
  return Json::writeString(builder, value);
}

std::string JsonString(const Json::Value& object,
                       const char* key,
                       std::string_view fallback) {
  if (!object.isObject() || !object[key].isString()) {
    return std::string(fallback);
  }
  return object[key].asString();
}

std::int64_t JsonInteger(const Json::Value& object,
                         const char* key,
                         std::int64_t fallback) {
  if (!object.isObject() || !object[key].isInt64()) {
    return fallback;
  }
  return object[key].asInt64();
}

bool JsonBoolean(const Json::Value& object, const char* key, bool fallback) {
  if (!object.isObject() || !object[key].isBool()) {
    return fallback;
  }
  return object[key].asBool();
}

}  // namespace carobbank
