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
  std::uint64_t prefix = 0;
};

class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t max_prefixes) : max_prefixes(max_prefixes) {}

  // Events from the server, in order; a gap before `first` voids what events
  // said of it, since evictions may have been lost.
  void OnEvents(ServerIndex server,
                std::uint64_t first,
                std::span<const PrefixEvent> events);
  // This entry sent a request with the prefix to the server.
  void OnSent(ServerIndex server, std::uint64_t prefix);
  // The server restarted or is gone.
  void Forget(ServerIndex server);

  // Probable holders, latest first.
  std::span<const ServerIndex> Holders(std::uint64_t prefix) const;
  // The sequence to read the server's events from.
  std::uint64_t NextSequence(ServerIndex server) const;
  std::size_t Size() const { return this->entries.size(); }

  static constexpr std::size_t kMaxHolders = 4;

 private:
  struct Entry {
    std::array<ServerIndex, kMaxHolders> holders{};
    std::size_t count = 0;
    std::list<std::uint64_t>::iterator age;
  };

  void Add(ServerIndex server, std::uint64_t prefix);
  void Drop(ServerIndex server, std::uint64_t prefix);

  std::size_t max_prefixes;
  std::unordered_map<std::uint64_t, Entry> entries;
  // Least recently used last.
  std::list<std::uint64_t> ages;
  std::unordered_map<ServerIndex, std::uint64_t> next_sequence;
};

}  // namespace carobbank
