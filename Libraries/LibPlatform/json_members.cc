// Typed access to JSON members without JsonCpp's exceptions.

#include "LibPlatform/json_members.h"

#include <limits>

namespace carobbank {

JsonObjectReader::JsonObjectReader(const Json::Value& object,
                                   std::string_view object_name)
    : object(object), object_name(object_name) {
  if (!object.isObject()) {
    this->Reject("is not a JSON object");
  }
}

std::uint64_t JsonObjectReader::Unsigned(const char* key) {
  const Json::Value& member = this->Member(key);
  if (!member.isUInt64()) {
    this->RejectMember(key, "an unsigned integer");
    return 0;
  }
  return member.asUInt64();
}

std::uint32_t JsonObjectReader::Unsigned32(const char* key) {
  const std::uint64_t value = this->Unsigned(key);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    this->RejectMember(key, "an unsigned integer below 2^32");
    return 0;
  }
  return static_cast<std::uint32_t>(value);
}

std::int64_t JsonObjectReader::Integer(const char* key) {
  const Json::Value& member = this->Member(key);
  if (!member.isInt64()) {
    this->RejectMember(key, "an integer");
    return 0;
  }
  return member.asInt64();
}

bool JsonObjectReader::Boolean(const char* key) {
  const Json::Value& member = this->Member(key);
  if (!member.isBool()) {
    this->RejectMember(key, "true or false");
    return false;
  }
  return member.asBool();
}

std::string JsonObjectReader::String(const char* key) {
  const Json::Value& member = this->Member(key);
  if (!member.isString()) {
    this->RejectMember(key, "a string");
    return "";
  }
  return member.asString();
}

std::uint64_t JsonObjectReader::DecimalString(const char* key) {
  const auto value = ParseInteger<std::uint64_t>(this->String(key));
  if (!value) {
    this->RejectMember(key, "an unsigned number in decimal digits");
  }
  return value.value_or(0);
}

const Json::Value& JsonObjectReader::Array(const char* key) {
  static const Json::Value empty(Json::arrayValue);
  const Json::Value& member = this->Member(key);
  if (!member.isArray()) {
    this->RejectMember(key, "an array");
    return empty;
  }
  return member;
}

void JsonObjectReader::Reject(std::string_view reason) {
  if (this->Ok()) {
    this->problem = std::string(this->object_name) + " " + std::string(reason);
  }
}

Result<void> JsonObjectReader::Finish() const {
  if (!this->Ok()) {
    return Fail(ErrorKind::kCorrupt, this->problem,
                "check that the address names the right service and that it "
                "speaks the protocol of docs/PLATFORM.md");
  }
  return {};
}

const Json::Value& JsonObjectReader::Member(const char* key) {
  static const Json::Value missing;
  if (!this->object.isObject()) {
    return missing;
  }
  return this->object[key];
}

void JsonObjectReader::RejectMember(const char* key,
                                    std::string_view expected) {
  this->Reject("has no \"" + std::string(key) + "\" that is " +
               std::string(expected));
}

}  // namespace carobbank
