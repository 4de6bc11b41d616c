// Assigns keys to servers by hierarchical rendezvous hashing: a trie over the
// hashes of server ids, where each level picks a child by a rendezvous score
// weighted with the number of servers below it. A lookup computes a logarithmic
// number of scores. Adding or removing a server moves its own keys, and at most
// about as many other keys for each level above it.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobbank {

class RendezvousTree {
 public:
  RendezvousTree();

  // `hash` is a well-mixed hash of the server's id, `value` the result of Find.
  // A hash that is already present keeps its value.
  void Insert(std::uint64_t hash, std::uint32_t value);
  void Erase(std::uint64_t hash, std::uint32_t value);

  // The value of the server that the key is assigned to; `kNone` when the tree
  // is empty.
  std::uint32_t Find(std::uint64_t key) const;
  // Number of servers.
  std::size_t Size() const { return this->nodes.front().count; }

  static constexpr std::uint32_t kNone = UINT32_MAX;

 private:
  static constexpr int kBits = 3;
  static constexpr int kFanout = 1 << kBits;

  struct Node {
    std::uint32_t count = 0;
    // Set in a leaf with count 1: the hash of its server.
    std::uint64_t hash = 0;
    std::uint32_t value = kNone;
    // Indexes into `nodes`; 0 for none, since the root is never a child.
    std::array<std::uint32_t, kFanout> children{};
    bool leaf = true;
  };

  bool Contains(std::uint64_t hash) const;
  static int ChildOf(std::uint64_t hash, int depth);
  std::uint32_t NewNode();
  void Split(std::uint32_t node, int depth);

  // Invariant: never empty, and the root is first; a node's count is the number
  // of servers below the node.
  std::vector<Node> nodes;
  std::vector<std::uint32_t> free_nodes;
};

}  // namespace carobbank
