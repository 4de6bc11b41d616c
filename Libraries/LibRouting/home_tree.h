// Homes by hierarchical rendezvous hashing: a trie over the hashes of server
// ids, where each level picks a child by a rendezvous score weighted with the
// servers below it. Finding a home takes a logarithmic number of scores, and a
// server that comes or goes moves only its own keys.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobbank {

class HomeTree {
 public:
  HomeTree();

  // `hash` is a well-mixed hash of the server's id, `value` what Find gives.
  void Insert(std::uint64_t hash, std::uint32_t value);
  void Erase(std::uint64_t hash, std::uint32_t value);

  // The home of a key; `kNone` when the tree is empty.
  std::uint32_t Find(std::uint64_t key) const;
  std::size_t Size() const;

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

  std::uint32_t NewNode();
  void Split(std::uint32_t node, int depth);

  std::vector<Node> nodes;
  std::vector<std::uint32_t> free_nodes;
};

}  // namespace carobbank
