// Index of the servers that probably hold a prompt prefix in their cache. Its
// sources are the servers' cache events, which arrive late and with gaps, and
// the requests that this entry sent. Bounded in size, with LRU eviction.

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

  // Applies events of the server, in sequence order. `first` is the oldest
  // sequence that the server still has. A gap in the sequence invalidates the
  // server's prefixes, since the missing events may have been evictions.
  void OnEvents(ServerIndex server,
                std::uint64_t first,
                std::span<const PrefixEvent> events);
  // This entry sent a request with the prefix to the server.
  void OnSent(ServerIndex server, std::uint64_t prefix_hash);
  // Invalidates the server's prefixes: the server restarted or was removed.
  void Invalidate(ServerIndex server);

  // Probable holders, most recent first.
  PrefixHolders Holders(std::uint64_t prefix_hash) const;
  // The sequence to read the server's events from.
  std::uint64_t NextSequence(ServerIndex server) const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Holder {
    ServerIndex server = kNoServer;
    // The holder is invalid when the server's cursor has a later epoch.
    std::uint32_t epoch = 0;
  };
  struct Entry {
    // Most recent first; the last ones may be unused.
    std::array<Holder, kMaxPrefixHolders> holders{};
    std::list<std::uint64_t>::iterator position;
  };
  // Position in one server's event sequence.
  struct EventCursor {
    std::uint64_t next_sequence = 0;
    std::uint32_t epoch = 0;
  };

  EventCursor& CursorOf(ServerIndex server);

  void AddHolder(ServerIndex server, std::uint64_t prefix_hash);
  void RemoveHolder(ServerIndex server, std::uint64_t prefix_hash);

  std::size_t max_prefixes;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Most recently used first.
  std::list<std::uint64_t> recently_used;
  // By server index.
  std::vector<EventCursor> cursors;
};

}  // namespace carobbank
