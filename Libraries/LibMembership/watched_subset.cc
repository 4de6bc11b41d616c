// Rendezvous hashing (Thaler and Ravishankar 1998) of watchers and of names.

#include "LibMembership/watched_subset.h"

#include <algorithm>
#include <cstdint>

namespace carobbank {

namespace {

// The finalizer of SplitMix64; mixes two hashes into one score.
std::uint64_t MixScore(std::uint64_t left, std::uint64_t right) {
  std::uint64_t mixed = left ^ (right + 0x9e37'79b9'7f4a'7c15);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58'476d'1ce4'e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d0'49bb'1331'11eb;
  return mixed ^ (mixed >> 31);
}

// The rank of `self` among the entries that could watch a server.
struct Rank {
  // Entries with a higher score: in the server's data center and in others.
  std::size_t local_above = 0;
  std::size_t remote_above = 0;
  std::size_t local_entries = 0;
};

Rank RankOf(std::size_t self,
            const InstanceLocation& server,
            std::span<const InstanceLocation> entries,
            std::span<const std::uint64_t> hashes) {
  const std::uint64_t server_hash = FastHash(server.id);
  const std::uint64_t own_score = MixScore(hashes[self], server_hash);
  Rank rank;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const bool local = entries[index].data_center == server.data_center;
    const bool above = MixScore(hashes[index], server_hash) > own_score;
    rank.local_entries += local ? 1 : 0;
    rank.local_above += local && above ? 1 : 0;
    rank.remote_above += !local && above ? 1 : 0;
  }
  return rank;
}

bool Watches(const Rank& rank, bool local, std::size_t watchers) {
  const std::size_t local_slots =
      std::min(rank.local_entries, (watchers + 1) / 2);
  if (local && rank.local_above < local_slots) {
    return true;
  }
  // The remaining slots go to the entries with the highest scores among those
  // without a slot. A local entry without a slot has `local_slots` entries
  // above it; a remote one ranks after the remote entries above it and the
  // local entries above it that have no slot.
  const std::size_t other_slots = watchers - local_slots;
  const std::size_t local_without_slot =
      rank.local_above > local_slots ? rank.local_above - local_slots : 0;
  return rank.remote_above + local_without_slot < other_slots;
}

}  // namespace

std::size_t WatchersPerServer(const WatchedSubsetOptions& options,
                              std::size_t entries,
                              std::size_t servers) {
  if (entries == 0 || servers == 0) {
    return 0;
  }
  const std::size_t spread =
      (options.target_size * entries + servers - 1) / servers;
  return std::min(entries, std::max(options.minimum_watchers, spread));
}

std::vector<std::size_t> ChooseWatched(
    const WatchedSubsetOptions& options,
    std::string_view self,
    std::span<const InstanceLocation> entries,
    std::span<const InstanceLocation> servers) {
  std::vector<std::size_t> watched;
  std::vector<std::uint64_t> hashes;
  hashes.reserve(entries.size());
  std::size_t own_index = entries.size();
  for (std::size_t index = 0; index < entries.size(); ++index) {
    hashes.push_back(FastHash(entries[index].id));
    if (entries[index].id == self) {
      own_index = index;
    }
  }
  if (own_index == entries.size()) {
    return watched;
  }
  const std::size_t watchers =
      WatchersPerServer(options, entries.size(), servers.size());
  for (std::size_t index = 0; index < servers.size(); ++index) {
    const Rank rank = RankOf(own_index, servers[index], entries, hashes);
    const bool local =
        entries[own_index].data_center == servers[index].data_center;
    if (Watches(rank, local, watchers)) {
      watched.push_back(index);
    }
  }
  return watched;
}

std::vector<std::string_view> RendezvousTop(
    std::string_view name,
    std::span<const std::string_view> candidates,
    std::size_t count) {
  struct Scored {
    std::uint64_t score = 0;
    std::string_view id;
  };
  const std::uint64_t name_hash = FastHash(name);
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (std::string_view candidate : candidates) {
    scored.push_back({MixScore(FastHash(candidate), name_hash), candidate});
  }
  const std::size_t result_size = std::min(count, scored.size());
  std::partial_sort(
      scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(result_size),
      scored.end(), [](const Scored& left, const Scored& right) {
        return left.score != right.score ? left.score > right.score
                                         : left.id < right.id;
      });
  std::vector<std::string_view> top;
  for (std::size_t index = 0; index < result_size; ++index) {
    top.push_back(scored[index].id);
  }
  return top;
}

}  // namespace carobbank
