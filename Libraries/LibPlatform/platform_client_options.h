// Settings that the HTTP adapters of the platform have in common.

#pragma once

#include "LibCore/core.h"

namespace carobbank {

struct PlatformClientOptions {
  // For a whole call, beyond what a long poll waits on purpose.
  Milliseconds timeout{5'000};
  Milliseconds connect_timeout{1'000};
};

}  // namespace carobbank
