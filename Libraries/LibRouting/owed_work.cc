// Delays of owed work, and crashes that it explains.

#include "LibRouting/owed_work.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr Milliseconds kFirstDelay{50};
constexpr std::int64_t kDelayGrowth = 4;
// With fewer, the plain request itself may be the cause of the crashes under
// the owed work.
constexpr std::size_t kCrashesThatExplain = 2;

bool IsOf(const ServerCrashRecord& record, const CrashReport& crash) {
  return record.instance == crash.instance &&
         record.started_at == crash.started_at;
}

}  // namespace

std::string DigestOfOwedWork(std::string_view target, std::string_view body) {
  return DigestOfRequest("owed", target, body);
}

Milliseconds OwedWorkDelay(std::size_t crashes) {
  if (crashes == 0) {
    return Milliseconds(0);
  }
  Milliseconds delay = kFirstDelay;
  for (std::size_t crash = 1; crash < crashes && delay < kLongestOwedDelay;
       ++crash) {
    delay = std::min(delay * kDelayGrowth, kLongestOwedDelay);
  }
  return delay;
}

Milliseconds OwedWorkDelay(std::span<const ServerCrashRecord> crashes,
                           WallMilliseconds now) {
  if (crashes.empty()) {
    return Milliseconds(0);
  }
  const Milliseconds delay = OwedWorkDelay(crashes.size());
  // The times come from the clocks of several machines.
  return std::clamp(Milliseconds(crashes.back().at + delay.count() - now),
                    Milliseconds(0), delay);
}

bool ExplainsCrash(std::span<const ServerCrashRecord> owed_crashes,
                   const CrashReport& crash,
                   std::size_t own_crashes) {
  const bool ran_there = std::any_of(owed_crashes.begin(), owed_crashes.end(),
                                     [&crash](const ServerCrashRecord& record) {
                                       return IsOf(record, crash);
                                     });
  const auto others = static_cast<std::size_t>(
      std::count_if(owed_crashes.begin(), owed_crashes.end(),
                    [&crash](const ServerCrashRecord& record) {
                      return !IsOf(record, crash) && record.at <= crash.at;
                    }));
  return ran_there && others >= std::max(kCrashesThatExplain, own_crashes);
}

}  // namespace carobbank
