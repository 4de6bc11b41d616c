// Entries of the stream `keys`: which attempt may run the request with an
// idempotency key, and how it ended.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "LibLedger/log_position.h"

namespace carobbank {

inline constexpr std::string_view kKeyStream = "keys";

// Largest answer body, in bytes, that a done entry stores whole.
inline constexpr std::size_t kMaxStoredBodyBytes = 4096;

// Names one keyed request.
struct IdempotencyKey {
  std::string service;
  std::string key;

  auto operator<=>(const IdempotencyKey&) const = default;
};

// An attempt asks to be the one that runs the request.
struct ClaimEntry {
  IdempotencyKey name;
  std::string attempt;
  // When the caller issued the key.
  WallMilliseconds issued_ms = 0;
  // After this the attempt will not begin.
  WallMilliseconds deadline_ms = 0;
  // Digest of method, target and body: a key belongs to one request.
  std::string request_digest;
};

// The attempt certainly did not run and never will.
struct ReleaseEntry {
  IdempotencyKey name;
  std::string attempt;
};

// The answer that a repeat of the request gets.
struct StoredOutcome {
  std::uint32_t status = 0;
  std::string content_type;
  // SHA-256 in hexadecimal digits of the whole body.
  std::string body_digest;
  // The whole body when `whole`, otherwise empty.
  std::string body;
  bool whole = false;

  bool operator==(const StoredOutcome&) const = default;
};

// Keeps the body when it is small enough, its digest always.
StoredOutcome MakeStoredOutcome(std::uint32_t status,
                                std::string_view content_type,
                                std::string_view body);

// The attempt ran and ended with this answer.
struct DoneEntry {
  IdempotencyKey name;
  std::string attempt;
  StoredOutcome outcome;
};

using KeyEntry = std::variant<ClaimEntry, ReleaseEntry, DoneEntry>;

std::string EncodeKeyEntry(const KeyEntry& entry);
DecodedRecord<KeyEntry> DecodeKeyRecord(const StreamRecord& record);

}  // namespace carobbank
