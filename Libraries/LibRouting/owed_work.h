// Owed work: samples and reward calls that were accepted to run later. Such
// work never crashes servers by itself, so it is never refused: it only waits a
// little longer after each crash of its servers, and its crashes show that
// servers are lost for other reasons. Pure.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "LibRouting/crash_quarantine.h"

namespace carobbank {

// Digest of a request that is owed. Differs from that of a plain request with
// the same content, so that neither counts the crashes of the other.
std::string DigestOfOwedWork(std::string_view target, std::string_view body);

// How long the next run waits after so many crashes.
Milliseconds OwedWorkDelay(std::size_t crashes);

// How long the next run waits after these crashes, in order of time; zero when
// it may start. At most kLongestOwedDelay, so that the work is placed soon
// after servers stay up.
Milliseconds OwedWorkDelay(std::span<const ServerCrashRecord> crashes,
                           WallMilliseconds now);
inline constexpr Milliseconds kLongestOwedDelay{1'000};

// Whether owed work that ran on the crashed server had been through enough
// other crashes to explain this one, for a plain request with `own_crashes`
// others.
bool ExplainsCrash(std::span<const ServerCrashRecord> owed_crashes,
                   const CrashReport& crash,
                   std::size_t own_crashes);

}  // namespace carobbank
