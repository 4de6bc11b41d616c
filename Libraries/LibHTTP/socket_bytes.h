// The kernel's count of a connection's bytes.

#pragma once

#include <cstdint>
#include <optional>

namespace carobbank {

// Number of bytes that this process has read from a TCP socket since it was
// connected, or a few less while more bytes arrive. Empty when `socket` is no
// TCP socket.
std::optional<std::int64_t> BytesReadFromSocket(int socket);

}  // namespace carobbank
