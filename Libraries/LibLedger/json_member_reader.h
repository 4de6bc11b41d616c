// Strict access to the members of one JSON object: the first missing or
// mistyped member makes the object malformed.

#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>

#include "LibLedger/log_position.h"

namespace carobbank {

class JsonMemberReader {
 public:
  explicit JsonMemberReader(const Json::Value& object);

  // Each returns an empty value once the object is malformed.
  std::string Text(const char* key);
  // A text that must not be empty.
  std::string Identifier(const char* key);
  std::uint64_t Unsigned(const char* key);
  std::uint32_t Unsigned32(const char* key);
  std::int64_t Integer(const char* key);
  bool Boolean(const char* key);
  LogPosition Position(const char* key);
  const Json::Value& Array(const char* key);
  const Json::Value& Object(const char* key);
  bool Has(const char* key) const;

  void Reject() { this->ok = false; }
  bool Ok() const { return this->ok; }

 private:
  const Json::Value& Member(const char* key);

  const Json::Value& object;
  bool ok = true;
};

}  // namespace carobbank
