// Which backend servers may get new work: the platform's delayed instance list
// merged with direct observations. Within one incarnation a leaving server
// never becomes available again; updates of a lower incarnation are ignored.

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
  // Listed as leaving, or reported as draining by the server; gets no new work.
  kLeaving,
  // A new connection failed; becomes available again by a heartbeat or
  // connection of the same incarnation.
  kUnreachable,
  // The backend server of a working sidecar is down; becomes available again by
  // a heartbeat that reports it as up.
  kCrashed,
  // No longer listed; becomes available when listed again, unless it was
  // leaving.
  kUnlisted,
};

// The contents of a heartbeat response.
struct HeartbeatReport {
  std::uint64_t incarnation = 0;
  bool draining = false;
  // The backend server responds to its sidecar.
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
  // Applies a complete listing; one with a lower version than an earlier one is
  // ignored. Not to be called after a failed fetch.
  void ApplyListing(std::uint64_t version, std::span<const Instance> instances);

  // Direct observations of a server. Each is ignored for an incarnation below
  // the recorded one; a higher incarnation resets the server's state.
  void OnHeartbeat(std::string_view id, const HeartbeatReport& report);
  // The sidecar refused work because it is draining.
  void OnDraining(std::string_view id, std::uint64_t incarnation);
  // Reports of the Link.
  void OnUnreachable(std::string_view id);
  void OnReachable(std::string_view id);
  // The backend server crashed, according to its sidecar or a truncated
  // response.
  void OnCrash(std::string_view id, std::uint64_t incarnation);

  // Null when the id was never listed or was removed.
  const Member* Find(std::string_view id) const;
  // Servers of the pool that accept new work, ordered by id.
  std::vector<const Member*> Eligible(std::string_view pool) const;
  std::vector<const Member*> All() const;
  // Increases with every change of a member, so that a caller rebuilds its
  // tables only after a change.
  std::uint64_t ChangeCount() const { return this->change_count; }
  const ServerViewCounters& Counters() const { return this->counters; }

 private:
  struct Entry {
    Member member;
    // Flags of this incarnation, from which the status is derived.
    bool leaving = false;
    bool unreachable = false;
    bool crashed = false;
    bool listed = true;
    // Consecutive listings with a newer version that lacked the server.
    std::uint32_t listings_missed = 0;
  };

  void ApplyRow(const Instance& instance);
  void RemoveUnlisted();
  Entry* FindCurrent(std::string_view id, std::uint64_t incarnation);
  void UpdateStatus(Entry& entry);
  void StartIncarnation(Entry& entry, std::uint64_t incarnation);

  std::map<std::string, Entry, std::less<>> entries;
  std::uint64_t listing_version = 0;
  std::uint64_t change_count = 0;
  ServerViewCounters counters;
};

}  // namespace carobbank
