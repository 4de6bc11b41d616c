// Typed access to the members of one untrusted JSON object. Finish() reports
// the first missing or mistyped member.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

class JsonObjectReader {
 public:
  // `what` names the object in error messages: "log page". Both must outlive
  // this reader.
  JsonObjectReader(const Json::Value& object, std::string_view object_name);

  std::uint64_t Unsigned(const char* key);
  std::uint32_t Unsigned32(const char* key);
  std::int64_t Integer(const char* key);
  bool Boolean(const char* key);
  std::string String(const char* key);
  // An unsigned number in decimal digits, sent as text because many JSON
  // readers lose precision above 2^53.
  std::uint64_t DecimalString(const char* key);
  // An empty array when the member is missing or not an array.
  const Json::Value& Array(const char* key);

  // Records a problem that the caller found.
  void Reject(std::string_view reason);

  bool Ok() const { return this->problem.empty(); }
  // kCorrupt with the first problem, or success.
  Result<void> Finish() const;

 private:
  const Json::Value& Member(const char* key);
  void RejectMember(const char* key, std::string_view expected);

  const Json::Value& object;
  std::string_view object_name;
  // Invariant: the first problem found; empty while there is none.
  std::string problem;
};

}  // namespace carobbank
