// Derives the connection limit from RLIMIT_NOFILE.

#include "LibHTTP/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace carobbank {

namespace {

// Reserved for log files, timers, the listening socket and similar.
constexpr std::size_t kOtherDescriptors = 64;
// A proxied request holds two connections: downstream and upstream.
constexpr std::size_t kDescriptorsPerConnection = 2;

}  // namespace

std::size_t MaxConnectionsForDescriptorLimit(std::size_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return wanted;
  }
  if (limit.rlim_cur < limit.rlim_max) {
    rlimit raised = limit;
    raised.rlim_cur = limit.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      limit = raised;
    }
  }
  const std::size_t usable = limit.rlim_cur > kOtherDescriptors
                                 ? limit.rlim_cur - kOtherDescriptors
                                 : 0;
  return std::clamp<std::size_t>(usable / kDescriptorsPerConnection, 1,
                                 std::max<std::size_t>(wanted, 1));
}

}  // namespace carobbank
