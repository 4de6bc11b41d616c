// The number of connections that the process's open-file limit allows.

#pragma once

#include <cstddef>

namespace carobbank {

// Raises the soft limit to the hard limit, then returns the maximum number of
// connections for a server to accept, at most `wanted` and at least 1. The
// limit leaves descriptors for as many upstream connections and for the
// process's other files.
std::size_t MaxConnectionsForDescriptorLimit(std::size_t wanted);

}  // namespace carobbank
