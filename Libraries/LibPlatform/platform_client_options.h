// Options shared by the HTTP adapters of the platform.

#pragma once

#include "LibCore/core.h"

namespace carobbank {

struct PlatformClientOptions {
  // For one complete call, in addition to a long poll's wait.
  Milliseconds timeout{5'000};
  Milliseconds connect_timeout{1'000};
};

}  // namespace carobbank
