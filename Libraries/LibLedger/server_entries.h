// Entries of the streams `servers` (sidecars and crashes) and `versions`
// (announced weights).

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibLedger/log_position.h"

namespace carobbank {

inline constexpr std::string_view kServerStream = "servers";
inline constexpr std::string_view kVersionStream = "versions";

// A sidecar started; the entry's offset is the fencing token of its orders.
struct SidecarStartEntry {
  std::string instance;
  std::uint64_t incarnation = 0;
};

// A backend server crashed while it ran the work with these digests.
struct CrashEntry {
  std::string instance;
  std::uint64_t incarnation = 0;
  std::vector<std::string> digests;
  // True when `digests` lists all work that ran on the server.
  bool lists_all_work = false;
};

// Work with this digest must not run any more.
struct QuarantineEntry {
  std::string digest;
};

// Work with this digest finished after a crash: the digest is no longer
// suspect.
struct ClearEntry {
  std::string digest;
};

using ServerEntry =
    std::variant<SidecarStartEntry, CrashEntry, QuarantineEntry, ClearEntry>;

std::string EncodeServerEntry(const ServerEntry& entry);
DecodedRecord<ServerEntry> DecodeServerRecord(const StreamRecord& record);

// A trainer stored new weights.
struct AnnounceEntry {
  std::string model;
  std::uint64_t version = 0;
};

std::string EncodeAnnounceEntry(const AnnounceEntry& entry);
DecodedRecord<AnnounceEntry> DecodeVersionRecord(const StreamRecord& record);

}  // namespace carobbank
