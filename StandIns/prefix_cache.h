// The stand-in engine's prefix cache: blocks of prompt text up to a capacity in
// tokens, with LRU eviction.

#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carobbank {

// A prompt's first block entered or left the cache.
struct PrefixChange {
  bool stored = true;
  // FastHash of the prompt's first block of text.
  std::uint64_t prefix_hash = 0;
};

class PrefixCache {
 public:
  struct UseResult {
    std::uint64_t cached_tokens = 0;
    std::vector<PrefixChange> changes;
  };

  // Counts the cached tokens of `prompt`, then caches the complete prompt.
  UseResult Use(std::string_view prompt, std::uint64_t capacity_tokens);
  std::uint64_t UsedTokens() const { return this->used_tokens; }
  void Clear();

 private:
  struct Block {
    // Hash of all prompt text up to the end of the block.
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
    bool is_first = false;
  };
  using Blocks = std::list<Block>;

  static std::vector<Block> Split(std::string_view prompt);
  void Touch(const Block& block, UseResult& result);
  void EvictTo(std::uint64_t capacity_tokens, UseResult& result);

  // Most recently used first.
  Blocks blocks;
  std::unordered_map<std::uint64_t, Blocks::iterator> by_hash;
  // Invariant: the sum of `tokens` over all blocks.
  std::uint64_t used_tokens = 0;
};

}  // namespace carobbank
