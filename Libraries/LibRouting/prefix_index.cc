// LRU index from a prefix hash to the servers that probably cache the prefix.

#include "LibRouting/prefix_index.h"

#include <algorithm>

namespace carobbank {

PrefixIndex::EventCursor& PrefixIndex::CursorOf(ServerIndex server) {
  if (server >= this->cursors.size()) {
    this->cursors.resize(server + 1);
  }
  return this->cursors[server];
}

void PrefixIndex::OnEvents(ServerIndex server,
                           std::uint64_t first,
                           std::span<const PrefixEvent> events) {
  EventCursor& cursor = this->CursorOf(server);
  if (first > cursor.next_sequence) {
    // The missing events may have been evictions.
    ++cursor.epoch;
    cursor.next_sequence = first;
  }
  for (const PrefixEvent& event : events) {
    if (event.sequence < cursor.next_sequence) {
      continue;
    }
    if (event.sequence > cursor.next_sequence) {
      ++cursor.epoch;
    }
    cursor.next_sequence = event.sequence + 1;
    if (event.stored) {
      this->AddHolder(server, event.prefix_hash);
    } else {
      this->RemoveHolder(server, event.prefix_hash);
    }
  }
}

void PrefixIndex::OnSent(ServerIndex server, std::uint64_t prefix_hash) {
  this->AddHolder(server, prefix_hash);
}

void PrefixIndex::Invalidate(ServerIndex server) {
  EventCursor& cursor = this->CursorOf(server);
  ++cursor.epoch;
  cursor.next_sequence = 0;
}

void PrefixIndex::AddHolder(ServerIndex server, std::uint64_t prefix_hash) {
  const Holder added{server, this->CursorOf(server).epoch};
  const auto [found, is_new] = this->entries.try_emplace(prefix_hash);
  Entry& entry = found->second;
  if (is_new) {
    this->recently_used.push_front(prefix_hash);
    entry.position = this->recently_used.begin();
  } else {
    this->recently_used.splice(this->recently_used.begin(), this->recently_used,
                               entry.position);
  }
  // Moves the server to the front; a new server replaces the last holder.
  auto found_holder = std::find_if(
      entry.holders.begin(), entry.holders.end() - 1,
      [&](const Holder& holder) { return holder.server == server; });
  std::move_backward(entry.holders.begin(), found_holder, found_holder + 1);
  entry.holders.front() = added;
  if (this->entries.size() > this->max_prefixes) {
    this->entries.erase(this->recently_used.back());
    this->recently_used.pop_back();
  }
}

void PrefixIndex::RemoveHolder(ServerIndex server, std::uint64_t prefix_hash) {
  const auto found = this->entries.find(prefix_hash);
  if (found == this->entries.end()) {
    return;
  }
  auto& holders = found->second.holders;
  const auto found_holder = std::find_if(
      holders.begin(), holders.end(),
      [&](const Holder& holder) { return holder.server == server; });
  if (found_holder == holders.end()) {
    return;
  }
  std::move(found_holder + 1, holders.end(), found_holder);
  holders.back() = Holder();
}

PrefixHolders PrefixIndex::Holders(std::uint64_t prefix_hash) const {
  PrefixHolders valid;
  const auto found = this->entries.find(prefix_hash);
  if (found == this->entries.end()) {
    return valid;
  }
  for (const Holder& holder : found->second.holders) {
    const bool is_current = holder.server < this->cursors.size() &&
                            this->cursors[holder.server].epoch == holder.epoch;
    if (is_current) {
      valid.servers[valid.count++] = holder.server;
    }
  }
  return valid;
}

std::uint64_t PrefixIndex::NextSequence(ServerIndex server) const {
  return server < this->cursors.size() ? this->cursors[server].next_sequence
                                       : 0;
}

}  // namespace carobbank
