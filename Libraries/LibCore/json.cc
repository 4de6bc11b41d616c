// Strict parsing and typed access through JsonCpp.

#include "LibCore/json.h"

#include <memory>
#include <sstream>
#include <utility>

namespace carobbank {

namespace {

// Construction of a reader or a writer evaluates its settings, which costs more
// than processing a short text; so each thread reuses one of each. Neither
// retains state between texts.
Json::CharReader& ThreadReader() {
  thread_local const std::unique_ptr<Json::CharReader> reader = [] {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder.settings_["strictRoot"] = false;
    builder.settings_["stackLimit"] = 64;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
  }();
  return *reader;
}

Json::StreamWriter& ThreadWriter() {
  thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
  }();
  return *writer;
}

}  // namespace

Result<Json::Value> ParseJson(std::string_view text) {
  Json::Value value;
  std::string problems;
  bool parsed = false;
  try {
    parsed = ThreadReader().parse(text.data(), text.data() + text.size(),
                                  &value, &problems);
  } catch (const Json::Exception& exception) {
    // JsonCpp throws when the nesting depth exceeds stackLimit.
    problems = exception.what();
  }
  if (!parsed) {
    return Fail(ErrorKind::kInvalidArgument, "not valid JSON: " + problems,
                "send one JSON value, nested at most 64 deep");
  }
  return value;
}

std::optional<Json::Value> ParseJsonObject(std::string_view text) {
  Outcome<Json::Value> parsed = Capture([&] { return ParseJson(text); });
  if (!parsed.Ok() || !parsed.Value().isObject()) {
    return std::nullopt;
  }
  return std::move(parsed.Value());
}

std::string WriteJson(const Json::Value& value) {
  std::ostringstream text;
  ThreadWriter().write(value, &text);
  return std::move(text).str();
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
