// Which servers probably hold a prompt prefix in their cache: fed by late and
// gappy cache events and by this entry's own sends. Bounded in size.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "LibRouting/server_table.h"

namespace carobbank {

// A prefix entered or left a server's cache.
struct PrefixEvent {
  std::uint64_t sequence = 0;
  bool stored = true;
  std::uint64_t prefix_hash = 0;
};

inline constexpr std::size_t kMaxPrefixHolders = 4;

struct PrefixHolders {
  std::array<ServerIndex, kMaxPrefixHolders> servers{};
  std::size_t count = 0;

  std::span<const ServerIndex> All() const {
    return std::span(this->servers).first(this->count);
  }
};

class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t max_prefixes) : max_prefixes(max_prefixes) {}

  // Events from the server, in order; a gap before `first` voids what was
  // known of it, since evictions may have been lost.
  void OnEvents(ServerIndex server,
                std::uint64_t first,
                std::span<const PrefixEvent> events);
  // This entry sent a request with the prefix to the server.
  void OnSent(ServerIndex server, std::uint64_t prefix);
  // The server restarted or is gone.
  void Forget(ServerIndex server);

  // Probable holders, latest first.
  PrefixHolders Holders(std::uint64_t prefix) const;
  // The sequence to read the server's events from.
  std::uint64_t NextSequence(ServerIndex server) const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Holder {
    ServerIndex server = kNoServer;
    // Void when the server's knowledge has a later epoch.
    std::uint32_t epoch = 0;
  };
  struct Entry {
    // Latest first; the last ones may be unused.
    std::array<Holder, kMaxPrefixHolders> holders{};
    std::list<std::uint64_t>::iterator age;
  };
  // What is known of one server's events.
  struct Knowledge {
    std::uint64_t next_sequence = 0;
    std::uint32_t epoch = 0;
  };

  Knowledge& KnowledgeOf(ServerIndex server);

  void Add(ServerIndex server, std::uint64_t prefix);
  void Drop(ServerIndex server, std::uint64_t prefix);

  std::size_t max_prefixes;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Least recently used last.
  std::list<std::uint64_t> ages;
  // By server index.
  std::vector<Knowledge> knowledge;
};

}  // namespace carobbank
