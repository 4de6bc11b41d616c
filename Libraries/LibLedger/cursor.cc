// Text form of cursors: a version, the JSON in hexadecimal digits, a checksum.

#include "LibLedger/cursor.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

#include "LibLedger/json_member_reader.h"

namespace carobbank {

namespace {

constexpr std::string_view kCursorVersion = "c1.";
constexpr std::uint64_t kChecksumSeed = 0x6375'7273'6f72'3031;
// Longer texts are refused before decoding.
constexpr std::size_t kMaxCursorCharacters = 4096;

std::string ChecksumOf(std::string_view body) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const std::uint64_t hash = FastHash(body, kChecksumSeed);
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(hash >> shift) & 0xf];
  }
  return text;
}

boost::leaf::error_id InvalidCursor() {
  return Fail(
      ErrorKind::kInvalidArgument,
      "the cursor is damaged or not from this system",
      "send the cursor exactly as the last response returned it, or submit "
      "the step again with its request_id to get its first cursor");
}

}  // namespace

std::string Cursor::Text() const {
  Json::Value value;
  value["service"] = this->service;
  value["request_id"] = this->request_id;
  value["accepted_at"] = this->accepted_at.Text();
  value["start_offset"] = Json::UInt64(this->start_offset);
  value["next"] = Json::UInt64(this->next);
  std::string body;
  boost::algorithm::hex_lower(WriteJson(value), std::back_inserter(body));
  return std::string(kCursorVersion) + body + "." + ChecksumOf(body);
}

Result<Cursor> Cursor::Parse(std::string_view text) {
  if (text.size() > kMaxCursorCharacters || !text.starts_with(kCursorVersion)) {
    return InvalidCursor();
  }
  const std::string_view rest = text.substr(kCursorVersion.size());
  const std::size_t point = rest.find('.');
  if (point == std::string_view::npos) {
    return InvalidCursor();
  }
  const std::string_view body = rest.substr(0, point);
  if (rest.substr(point + 1) != ChecksumOf(body)) {
    return InvalidCursor();
  }
  std::string json;
  try {
    boost::algorithm::unhex(body.begin(), body.end(), std::back_inserter(json));
  } catch (const boost::algorithm::hex_decode_error&) {
    return InvalidCursor();
  }
  const Outcome<Json::Value> parsed = Capture([&] { return ParseJson(json); });
  if (!parsed.Ok()) {
    return InvalidCursor();
  }
  JsonMemberReader reader(parsed.Value());
  Cursor cursor;
  cursor.service = reader.Identifier("service");
  cursor.request_id = reader.Identifier("request_id");
  cursor.accepted_at = reader.Position("accepted_at");
  cursor.start_offset = reader.Unsigned("start_offset");
  cursor.next = reader.Unsigned("next");
  if (!reader.Ok()) {
    return InvalidCursor();
  }
  return cursor;
}

}  // namespace carobbank
