// Entries of the stream `keys`: which attempt may run the request with an
// idempotency key, and the outcome of the attempt.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "LibLedger/log_position.h"

namespace carobbank {

inline constexpr std::string_view kKeyStream = "keys";

// Largest response body, in bytes, that a done entry stores.
inline constexpr std::size_t kMaxStoredBodyBytes = 4096;

// Identifies one request with an idempotency key.
struct IdempotencyKey {
  std::string service;
  std::string key;

  auto operator<=>(const IdempotencyKey&) const = default;
};

// An attempt claims the exclusive right to run the request.
struct ClaimEntry {
  IdempotencyKey name;
  std::string attempt;
  // When the caller issued the key.
  WallMilliseconds issued_ms = 0;
  // The attempt does not start after this time.
  WallMilliseconds deadline_ms = 0;
  // Digest of method, target and body: a key belongs to one request.
  std::string request_digest;
};

// The attempt certainly did not run and will never run.
struct ReleaseEntry {
  IdempotencyKey name;
  std::string attempt;
};

// The response that is returned to a repeat of the request.
struct StoredOutcome {
  std::uint32_t status = 0;
  std::string content_type;
  // SHA-256 of the complete body, in hexadecimal digits.
  std::string body_digest;
  // The complete body when `complete`, otherwise empty.
  std::string body;
  bool complete = false;

  bool operator==(const StoredOutcome&) const = default;
};

// Stores a body of at most kMaxStoredBodyBytes, and the digest of any body.
StoredOutcome MakeStoredOutcome(std::uint32_t status,
                                std::string_view content_type,
                                std::string_view body);

// The attempt ran and ended with this response.
struct DoneEntry {
  IdempotencyKey name;
  std::string attempt;
  StoredOutcome outcome;
};

using KeyEntry = std::variant<ClaimEntry, ReleaseEntry, DoneEntry>;

std::string EncodeKeyEntry(const KeyEntry& entry);
DecodedRecord<KeyEntry> DecodeKeyRecord(const StreamRecord& record);

}  // namespace carobbank
