// Homes by hierarchical rendezvous hashing: a trie over the hashes of server
// ids, where each level picks a child by a rendezvous score weighted with the
// servers below it. Finding a home takes a logarithmic number of scores. A
// server that comes or goes moves its own keys, and at most about as many
// others for each level above it.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobbank {

class RendezvousTree {
 public:
  RendezvousTree();

  // `hash` is a well-mixed hash of the server's id, `value` what Find gives.
  // A hash that is already there keeps its value.
  void Insert(std::uint64_t hash, std::uint32_t value);
  void Erase(std::uint64_t hash, std::uint32_t value);

  // The home of a key; `kNone` when the tree is empty.
  std::uint32_t Find(std::uint64_t key) const;
  // Servers that can be homes.
  std::size_t Size() const { return this->nodes.front().count; }

  static constexpr std::uint32_t kNone = UINT32_MAX;

 private:
  static constexpr int kBits = 3;
  static constexpr int kFanout = 1 << kBits;

  struct Node {
    std::uint32_t count = 0;
    // With count 1 and no children: the only server below.
    std::uint64_t hash = 0;
    std::uint32_t value = kNone;
    // Index into `nodes`; 0 for none (the root is nobody's child).
    std::array<std::uint32_t, kFanout> children{};
    bool leaf = true;
  };

  bool Contains(std::uint64_t hash) const;
  static int ChildOf(std::uint64_t hash, int depth);
  std::uint32_t NewNode();
  void Split(std::uint32_t node, int depth);

  // Invariant: never empty, the root comes first; a node's count is the number
  // of servers below it.
  std::vector<Node> nodes;
  std::vector<std::uint32_t> free_nodes;
};

}  // namespace carobbank
