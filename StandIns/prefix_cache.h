// The stand-in engine's prefix cache: blocks of prompt text in limited token
// memory, the least recently used block evicted first.

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
  std::uint64_t prefix = 0;
};

class PrefixCache {
 public:
  struct UseResult {
    std::uint64_t cached_tokens = 0;
    std::vector<PrefixChange> changes;
  };

  // Counts the tokens of `prompt` that are cached, then caches all of it.
  UseResult Use(std::string_view prompt, std::uint64_t capacity_tokens);
  std::uint64_t UsedTokens() const { return this->used_tokens; }
  void Clear();

 private:
  struct Block {
    // Of all text up to the block's end.
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
  // Invariant: the sum over blocks.
  std::uint64_t used_tokens = 0;
};

}  // namespace carobbank
