// The envelope of a log record: `{"entries": [...]}`.

#pragma once

#include <json/json.h>

#include <optional>
#include <span>
#include <string>

#include "LibLedger/log_position.h"

namespace carobbank {

// The payload of one record; each entry is already JSON text.
std::string EncodeRecord(std::span<const std::string> entries);

// The `entries` array of a payload, or nothing when the payload is malformed.
std::optional<Json::Value> DecodeRecordEntries(std::string_view payload);

// Decodes every entry with `decode(const Json::Value&) -> optional<Entry>`.
template <typename Entry, typename Decode>
DecodedRecord<Entry> DecodeRecord(const StreamRecord& record, Decode decode) {
  DecodedRecord<Entry> decoded;
  const std::optional<Json::Value> entries =
      DecodeRecordEntries(record.payload);
  if (!entries) {
    decoded.skipped = 1;
    return decoded;
  }
  for (Json::ArrayIndex index = 0; index < entries->size(); ++index) {
    std::optional<Entry> entry = decode((*entries)[index]);
    if (!entry) {
      ++decoded.skipped;
      continue;
    }
    decoded.entries.push_back(
        {{record.offset, index}, record.time_ms, std::move(*entry)});
  }
  return decoded;
}

}  // namespace carobbank
