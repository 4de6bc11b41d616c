// The join of the instance list with direct evidence.

#include "LibMembership/server_view.h"

#include <set>

namespace carobbank {

namespace {

// Listings with news after which a server that none of them names is
// forgotten.
constexpr std::uint32_t kRememberedListings = 100;

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
    this->Derive(entry);
  }
  this->ForgetUnlisted();
}

void ServerView::ForgetUnlisted() {
  const std::size_t forgotten =
      std::erase_if(this->entries, [](const auto& item) {
        return item.second.listings_missed > kRememberedListings;
      });
  this->change_count += forgotten;
}

void ServerView::ApplyRow(const Instance& instance) {
  auto [found, added] = this->entries.try_emplace(instance.id);
  Entry& entry = found->second;
  if (added) {
    entry.member.instance = instance;
    ++this->change_count;
  } else if (instance.incarnation < entry.member.instance.incarnation) {
    // Direct evidence of the replacement came first. The row's place may be
    // the old one too, but nothing better is known.
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

ServerView::Entry* ServerView::Known(std::string_view id,
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
  Entry* entry = this->Known(id, report.incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->unreachable = false;
  entry->crashed = !report.serving;
  entry->leaving = entry->leaving || report.draining;
  this->Derive(*entry);
}

void ServerView::OnDraining(std::string_view id, std::uint64_t incarnation) {
  Entry* entry = this->Known(id, incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->leaving = true;
  this->Derive(*entry);
}

void ServerView::OnUnreachable(std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.unreachable = true;
  this->Derive(found->second);
}

void ServerView::OnReachable(std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.unreachable = false;
  this->Derive(found->second);
}

void ServerView::OnCrash(std::string_view id, std::uint64_t incarnation) {
  Entry* entry = this->Known(id, incarnation);
  if (entry == nullptr) {
    return;
  }
  entry->crashed = true;
  ++entry->member.crashes;
  this->Derive(*entry);
}

void ServerView::Derive(Entry& entry) {
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
