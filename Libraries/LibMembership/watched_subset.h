// Which backend servers an entry instance keeps links to. Each server is
// watched by a fixed number of entries, chosen by rendezvous hashing, so that
// every server has watchers, and adding or removing an entry or server changes
// few assignments.

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

// The properties of an entry or server that the choice depends on.
struct InstanceLocation {
  std::string_view id;
  std::string_view data_center;
};

// Number of entries that watch one server: the links of all entries at the
// target size, spread evenly over the servers and rounded up.
std::size_t WatchersPerServer(const WatchedSubsetOptions& options,
                              std::size_t entries,
                              std::size_t servers);

// Indexes of the `servers` that the entry `self` watches. Half of a server's
// watchers, rounded up, come from its own data center if it has enough entries.
std::vector<std::size_t> ChooseWatched(
    const WatchedSubsetOptions& options,
    std::string_view self,
    std::span<const InstanceLocation> entries,
    std::span<const InstanceLocation> servers);

// The `count` candidates with the highest rendezvous score for `name`, highest
// first: the servers assigned to a prefix, and the writers of a stream.
std::vector<std::string_view> RendezvousTop(
    std::string_view name,
    std::span<const std::string_view> candidates,
    std::size_t count);

}  // namespace carobbank
