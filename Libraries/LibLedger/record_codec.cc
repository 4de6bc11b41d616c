// The envelope of a log record.

#include "LibLedger/record_codec.h"

namespace carobbank {

std::string EncodeRecord(std::span<const std::string> entries) {
  std::string payload = "{\"entries\":[";
  for (std::size_t index = 0; index < entries.size(); ++index) {
    if (index > 0) {
      payload += ',';
    }
    payload += entries[index];
  }
  payload += "]}";
  return payload;
}

std::optional<Json::Value> DecodeRecordEntries(std::string_view payload) {
  std::optional<Json::Value> parsed = ParseJsonObject(payload);
  if (!parsed) {
    return std::nullopt;
  }
  // Swapped out, because copying the array costs as much as parsing it.
  Json::Value entries;
  (*parsed)["entries"].swap(entries);
  if (!entries.isArray()) {
    return std::nullopt;
  }
  return entries;
}

}  // namespace carobbank
