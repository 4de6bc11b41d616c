// Typed access to the members of one JSON object.

#include "LibLedger/json_member_reader.h"

#include <limits>

namespace carobbank {

namespace {

const Json::Value& EmptyArray() {
  static const Json::Value value(Json::arrayValue);
  return value;
}

const Json::Value& EmptyObject() {
  static const Json::Value value(Json::objectValue);
  return value;
}

}  // namespace

JsonMemberReader::JsonMemberReader(const Json::Value& object)
    : object(object), ok(object.isObject()) {}

const Json::Value& JsonMemberReader::Member(const char* key) {
  if (!this->ok) {
    return Json::Value::nullSingleton();
  }
  return this->object[key];
}

bool JsonMemberReader::Has(const char* key) const {
  return this->object.isObject() && this->object.isMember(key);
}

std::string JsonMemberReader::Text(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isString()) {
    this->Reject();
    return "";
  }
  return value.asString();
}

std::string JsonMemberReader::Identifier(const char* key) {
  std::string text = this->Text(key);
  if (text.empty()) {
    this->Reject();
  }
  return text;
}

std::uint64_t JsonMemberReader::Unsigned(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isIntegral() || !value.isUInt64()) {
    this->Reject();
    return 0;
  }
  return value.asUInt64();
}

std::uint32_t JsonMemberReader::Unsigned32(const char* key) {
  const std::uint64_t value = this->Unsigned(key);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    this->Reject();
    return 0;
  }
  return static_cast<std::uint32_t>(value);
}

std::int64_t JsonMemberReader::Integer(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isIntegral() || !value.isInt64()) {
    this->Reject();
    return 0;
  }
  return value.asInt64();
}

bool JsonMemberReader::Boolean(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isBool()) {
    this->Reject();
    return false;
  }
  return value.asBool();
}

LogPosition JsonMemberReader::Position(const char* key) {
  const Outcome<LogPosition> position =
      Capture([&] { return LogPosition::Parse(this->Text(key)); });
  if (!position.Ok()) {
    this->Reject();
    return {};
  }
  return position.Value();
}

const Json::Value& JsonMemberReader::Array(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isArray()) {
    this->Reject();
    return EmptyArray();
  }
  return value;
}

const Json::Value& JsonMemberReader::Object(const char* key) {
  const Json::Value& value = this->Member(key);
  if (!value.isObject()) {
    this->Reject();
    return EmptyObject();
  }
  return value;
}

}  // namespace carobbank
