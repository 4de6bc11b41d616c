// The index of cached prompt prefixes.

#include "LibRouting/prefix_index.h"

#include <algorithm>

namespace carobbank {

PrefixIndex::Knowledge& PrefixIndex::KnowledgeOf(ServerIndex server) {
  if (server >= this->knowledge.size()) {
    this->knowledge.resize(server + 1);
  }
  return this->knowledge[server];
}

void PrefixIndex::OnEvents(ServerIndex server,
                           std::uint64_t first,
                           std::span<const PrefixEvent> events) {
  Knowledge& known = this->KnowledgeOf(server);
  if (first > known.next_sequence) {
    // The lost events may have been evictions.
    ++known.epoch;
    known.next_sequence = first;
  }
  for (const PrefixEvent& event : events) {
    if (event.sequence < known.next_sequence) {
      continue;
    }
    if (event.sequence > known.next_sequence) {
      ++known.epoch;
    }
    known.next_sequence = event.sequence + 1;
    if (event.stored) {
      this->Add(server, event.prefix_hash);
    } else {
      this->Drop(server, event.prefix_hash);
    }
  }
}

void PrefixIndex::OnSent(ServerIndex server, std::uint64_t prefix) {
  this->Add(server, prefix);
}

void PrefixIndex::Forget(ServerIndex server) {
  Knowledge& known = this->KnowledgeOf(server);
  ++known.epoch;
  known.next_sequence = 0;
}

void PrefixIndex::Add(ServerIndex server, std::uint64_t prefix) {
  const Holder added{server, this->KnowledgeOf(server).epoch};
  const auto [found, is_new] = this->entries.try_emplace(prefix);
  Entry& entry = found->second;
  if (is_new) {
    this->ages.push_front(prefix);
    entry.age = this->ages.begin();
  } else {
    this->ages.splice(this->ages.begin(), this->ages, entry.age);
  }
  // Moves the server to the front; the last holder makes room.
  auto place = std::find_if(
      entry.holders.begin(), entry.holders.end() - 1,
      [&](const Holder& holder) { return holder.server == server; });
  std::move_backward(entry.holders.begin(), place, place + 1);
  entry.holders.front() = added;
  if (this->entries.size() > this->max_prefixes) {
    this->entries.erase(this->ages.back());
    this->ages.pop_back();
  }
}

void PrefixIndex::Drop(ServerIndex server, std::uint64_t prefix) {
  const auto found = this->entries.find(prefix);
  if (found == this->entries.end()) {
    return;
  }
  auto& holders = found->second.holders;
  const auto place = std::find_if(
      holders.begin(), holders.end(),
      [&](const Holder& holder) { return holder.server == server; });
  if (place == holders.end()) {
    return;
  }
  std::move(place + 1, holders.end(), place);
  holders.back() = Holder();
}

PrefixHolders PrefixIndex::Holders(std::uint64_t prefix) const {
  PrefixHolders valid;
  const auto found = this->entries.find(prefix);
  if (found == this->entries.end()) {
    return valid;
  }
  for (const Holder& holder : found->second.holders) {
    const bool known = holder.server < this->knowledge.size() &&
                       this->knowledge[holder.server].epoch == holder.epoch;
    if (known) {
      valid.servers[valid.count++] = holder.server;
    }
  }
  return valid;
}

std::uint64_t PrefixIndex::NextSequence(ServerIndex server) const {
  return server < this->knowledge.size() ? this->knowledge[server].next_sequence
                                         : 0;
}

}  // namespace carobbank
