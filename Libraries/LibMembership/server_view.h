// Which backend servers may get new work: the lagging list joined with direct
// evidence. Within one incarnation a server that leaves never returns; news of
// a lower incarnation is ignored.

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibMembership/instance.h"

namespace carobbank {

enum class MemberStatus {
  // Gets work.
  kLive,
  // Listed as leaving, or said so itself; gets no new work again.
  kLeaving,
  // A fresh connection failed; returns by evidence of the same incarnation.
  kUnreachable,
  // The backend server beside a working sidecar is down; returns by a
  // heartbeat that reports it up.
  kCrashed,
  // No longer listed; returns when listed again, unless it was leaving.
  kUnlisted,
};

// What a heartbeat's answer reports.
struct HeartbeatReport {
  std::uint64_t incarnation = 0;
  bool draining = false;
  // The backend server answers its sidecar.
  bool serving = true;
};

struct Member {
  Instance instance;
  MemberStatus status = MemberStatus::kLive;
  std::uint32_t crashes = 0;

  bool TakesNewWork() const { return this->status == MemberStatus::kLive; }
};

struct ServerViewCounters {
  std::uint64_t stale_updates = 0;
  std::uint64_t status_changes = 0;
};

class ServerView {
 public:
  // A whole listing; one with a lower version than seen before is ignored.
  // A failed fetch changes nothing: simply don't call.
  void ApplyListing(std::uint64_t version, std::span<const Instance> instances);

  // Evidence about a server. Each ignores an incarnation below the known one;
  // a higher one is a fresh start.
  void OnHeartbeat(std::string_view id, const HeartbeatReport& report);
  // The sidecar refused work because it drains.
  void OnDraining(std::string_view id, std::uint64_t incarnation);
  // The Link's reports.
  void OnUnreachable(std::string_view id);
  void OnReachable(std::string_view id);
  // The backend server crashed; its sidecar or a cut answer says so.
  void OnCrash(std::string_view id, std::uint64_t incarnation);

  // Nothing when the id was never listed.
  const Member* Find(std::string_view id) const;
  // Those of a pool that take new work, by id.
  std::vector<const Member*> Eligible(std::string_view pool) const;
  std::vector<const Member*> All() const;
  // Grows with every change of a member, so that a caller rebuilds its tables
  // only when needed.
  std::uint64_t ChangeCount() const { return this->change_count; }
  const ServerViewCounters& Counters() const { return this->counters; }

 private:
  struct Entry {
    Member member;
    // Sticky facts of this incarnation; the status is derived from them.
    bool leaving = false;
    bool unreachable = false;
    bool crashed = false;
    bool listed = true;
    // Listings with news in a row that did not name it.
    std::uint32_t listings_missed = 0;
  };

  void ApplyRow(const Instance& instance);
  void ForgetUnlisted();
  Entry* Known(std::string_view id, std::uint64_t incarnation);
  void Derive(Entry& entry);
  void StartIncarnation(Entry& entry, std::uint64_t incarnation);

  std::map<std::string, Entry, std::less<>> entries;
  std::uint64_t listing_version = 0;
  std::uint64_t change_count = 0;
  ServerViewCounters counters;
};

}  // namespace carobbank
