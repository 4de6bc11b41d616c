// Splitting of prompts into blocks, lookup and eviction.

#include "StandIns/prefix_cache.h"

#include <algorithm>

#include "LibCore/core.h"
#include "StandIns/token_model.h"

namespace carobbank {

namespace {

// The hash of the first block is the prefix hash in cache events.
constexpr std::size_t kBlockCharacters = 256;

}  // namespace

PrefixCache::UseResult PrefixCache::Use(std::string_view prompt,
                                        std::uint64_t capacity_tokens) {
  const std::vector<Block> wanted = Split(prompt);
  UseResult result;
  for (const Block& block : wanted) {
    if (!this->by_hash.contains(block.hash)) {
      break;
    }
    result.cached_tokens += block.tokens;
  }
  // Last block first, so that eviction removes the end of a prompt before its
  // beginning.
  std::for_each(wanted.rbegin(), wanted.rend(),
                [&](const Block& block) { this->Touch(block, result); });
  this->EvictTo(capacity_tokens, result);
  return result;
}

void PrefixCache::Clear() {
  this->blocks.clear();
  this->by_hash.clear();
  this->used_tokens = 0;
}

std::vector<PrefixCache::Block> PrefixCache::Split(std::string_view prompt) {
  std::vector<Block> result;
  for (std::size_t begin = 0; begin < prompt.size();
       begin += kBlockCharacters) {
    const std::size_t end = std::min(begin + kBlockCharacters, prompt.size());
    Block block;
    block.hash = FastHash(prompt.substr(0, end));
    block.tokens = PromptTokens(prompt.substr(begin, end - begin));
    block.is_first = begin == 0;
    result.push_back(block);
  }
  return result;
}

void PrefixCache::Touch(const Block& block, UseResult& result) {
  const auto found = this->by_hash.find(block.hash);
  if (found != this->by_hash.end()) {
    this->blocks.splice(this->blocks.begin(), this->blocks, found->second);
    return;
  }
  this->blocks.push_front(block);
  this->by_hash[block.hash] = this->blocks.begin();
  this->used_tokens += block.tokens;
  if (block.is_first) {
    result.changes.push_back({true, block.hash});
  }
}

void PrefixCache::EvictTo(std::uint64_t capacity_tokens, UseResult& result) {
  while (this->used_tokens > capacity_tokens) {
    const Block evicted = this->blocks.back();
    this->blocks.pop_back();
    this->by_hash.erase(evicted.hash);
    this->used_tokens -= evicted.tokens;
    if (evicted.is_first) {
      result.changes.push_back({false, evicted.hash});
    }
  }
}

}  // namespace carobbank
