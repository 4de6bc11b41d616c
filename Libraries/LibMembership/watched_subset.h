// Which backend servers an entry instance keeps links to. Each server is
// watched by a fixed number of entries, chosen by rendezvous hashing, so that
// no server is left out, and a change of one entry or server moves few.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibMembership/instance.h"

namespace carobbank {

struct WatchedSubsetOptions {
  // How many servers an entry watches on average.
  std::size_t target_size = 64;
  // Least number of entries that watch one server.
  std::size_t minimum_watchers = 2;
};

// An entry or server as far as the choice goes.
struct InstanceLocation {
  std::string_view id;
  std::string_view data_center;
};

// Entries that watch one server: the target size spread over all servers,
// rounded up.
std::size_t WatchersPerServer(const WatchedSubsetOptions& options,
                              std::size_t entries,
                              std::size_t servers);

// Indexes into `servers` that the entry `self` watches. Half of a server's
// watchers, rounded up, come from its own data center as far as there are any.
std::vector<std::size_t> ChooseWatched(
    const WatchedSubsetOptions& options,
    std::string_view self,
    std::span<const InstanceLocation> entries,
    std::span<const InstanceLocation> servers);

// The `count` candidates with the highest rendezvous score for `name`, best
// first: homes, and the writers of a stream.
std::vector<std::string_view> RendezvousTop(
    std::string_view name,
    std::span<const std::string_view> candidates,
    std::size_t count);

}  // namespace carobbank
