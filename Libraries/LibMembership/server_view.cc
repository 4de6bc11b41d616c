// Merges the instance list with direct observations.

#include "LibMembership/server_view.h"

#include <set>

namespace carobbank {

namespace {

// Consecutive newer listings without a server after which the server is
// removed.
constexpr std::uint32_t kRetainedListings = 100;

}  // namespace

void ServerView::ApplyListing(std::uint64_t version,
                              std::span<const Instance> instances) {
  if (version < this->listing_version) {
    ++this->counters.stale_updates;
    return;
  }
  const bool newer = version > this->listing_version;
  this->listing_version = version;
  std::set<std::string_view> listed;
  for (const Instance& instance : instances) {
    if (instance.role != MemberRole::kBackendServer) {
      continue;
    }
    listed.insert(instance.id);
    this->ApplyRow(instance);
  }
  for (auto& [id, entry] : this->entries) {
    entry.listed = listed.contains(id);
    entry.listings_missed += newer ? 1 : 0;
    if (entry.listed) {
      entry.listings_missed = 0;
    }
    this->UpdateStatus(entry);
  }
  this->RemoveUnlisted();
}

void ServerView::RemoveUnlisted() {
  const std::size_t removed =
      std::erase_if(this->entries, [](const auto& item) {
        return item.second.listings_missed > kRetainedListings;
      });
  this->change_count += removed;
}

void ServerView::ApplyRow(const Instance& instance) {
  auto [found, added] = this->entries.try_emplace(instance.id);
  Entry& entry = found->second;
  if (added) {
    entry.member.instance = instance;
    ++this->change_count;
  } else if (instance.incarnation < entry.member.instance.incarnation) {
    // A direct observation of the replacement arrived before this row. The
    // recorded address and data center may be outdated too, but no newer ones
    // have been received.
    ++this->counters.stale_updates;
    return;
  } else if (instance.incarnation > entry.member.instance.incarnation) {
    this->StartIncarnation(entry, instance.incarnation);
  }
  if (entry.member.instance != instance) {
    entry.member.instance = instance;
    ++this->change_count;
  }
  if (instance.state == ListedState::kLeaving) {
    entry.leaving = true;
  }
}

void ServerView::StartIncarnation(Entry& entry, std::uint64_t incarnation) {
  entry.member.instance.incarnation = incarnation;
  entry.member.instance.state = ListedState::kLive;
  entry.leaving = false;
  entry.unreachable = false;
  entry.crashed = false;
  ++this->change_count;
}

ServerView::Entry* ServerView::FindCurrent(std::string_view id,
                                           std::uint64_t incarnation) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return nullptr;
  }
  Entry& entry = found->second;
  if (incarnation < entry.member.instance.incarnation) {
    ++this->counters.stale_updates;
    return nullptr;
  }
  if (incarnation > entry.member.instance.incarnation) {
    this->StartIncarnation(entry, incarnation);
  }
  return &entry;
}

void ServerView::OnHeartbeat(std::string_view id,
                             const HeartbeatReport& report) {
  Entry* entry = this->FindCurrent(id, report.incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->unreachable = false;
  entry->crashed = !report.serving;
  entry->leaving = entry->leaving || report.draining;
  this->UpdateStatus(*entry);
}

void ServerView::OnDraining(std::string_view id, std::uint64_t incarnation) {
  Entry* entry = this->FindCurrent(id, incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->leaving = true;
  this->UpdateStatus(*entry);
}

void ServerView::OnUnreachable(std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.unreachable = true;
  this->UpdateStatus(found->second);
}

void ServerView::OnReachable(std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.unreachable = false;
  this->UpdateStatus(found->second);
}

void ServerView::OnCrash(std::string_view id, std::uint64_t incarnation) {
  Entry* entry = this->FindCurrent(id, incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->crashed = true;
  ++entry->member.crashes;
  this->UpdateStatus(*entry);
}

void ServerView::UpdateStatus(Entry& entry) {
  MemberStatus status = MemberStatus::kLive;
  if (entry.leaving) {
    status = MemberStatus::kLeaving;
  } else if (!entry.listed) {
    status = MemberStatus::kUnlisted;
  } else if (entry.unreachable) {
    status = MemberStatus::kUnreachable;
  } else if (entry.crashed) {
    status = MemberStatus::kCrashed;
  }
  if (status == entry.member.status) {
    return;
  }
  entry.member.status = status;
  ++this->change_count;
  ++this->counters.status_changes;
}

const Member* ServerView::Find(std::string_view id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.member;
}

std::vector<const Member*> ServerView::Eligible(std::string_view pool) const {
  std::vector<const Member*> eligible;
  for (const auto& [id, entry] : this->entries) {
    if (entry.member.instance.pool == pool && entry.member.TakesNewWork()) {
      eligible.push_back(&entry.member);
    }
  }
  return eligible;
}

std::vector<const Member*> ServerView::All() const {
  std::vector<const Member*> all;
  all.reserve(this->entries.size());
  for (const auto& [id, entry] : this->entries) {
    all.push_back(&entry.member);
  }
  return all;
}

}  // namespace carobbank
