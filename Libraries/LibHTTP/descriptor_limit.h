// How many connections the process's limit on open files allows.

#pragma once

#include <cstddef>

namespace carobbank {

// Raises the soft limit to the hard one, then gives how many connections a
// server may accept at most, so that as many onward connections and the
// process's other files fit as well.
std::size_t MaxConnectionsForDescriptorLimit(std::size_t wanted);

}  // namespace carobbank
