// Keeps this sidecar's record in the log's stream `servers`, and derives from
// the log whether it may order its engine.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibPlatform/platform.h"
#include "LibVersions/versions.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

struct LeaseOptions {
  std::string instance;
  // The wall clock at the start of this process.
  std::uint64_t incarnation = 0;
  LeaseTerms terms;
  Milliseconds renew_interval{80'000};
  // Then one record is enough, until an order is refused for its number.
  bool engine_checks_fencing = false;
};

class LeaseKeeper {
 public:
  // `changed`: the authority, or nothing while there is none.
  LeaseKeeper(
      ControlTimers& timers,
      const Clock& clock,
      LogClient& log,
      LeaseOptions options,
      std::function<void(const std::optional<OrderAuthority>&)> changed);

  void Start();
  // The engine knows a higher number than ours.
  void OnFenced();
  bool LogReachable() const { return this->log_reachable; }

 private:
  void Append();
  void OnAppended(MonotonicTime started, const Outcome<std::uint64_t>& offset);
  // Reads the records in [from, own_offset] anew.
  void BeginReadBack(std::uint64_t from, std::uint64_t own_offset);
  void ReadPage(std::uint64_t from, std::uint64_t own_offset);
  void OnPage(std::uint64_t own_offset, const Outcome<LogPage>& page);
  bool CoversLeaseDuration(const LogPage& page,
                           const OrderHolderRecord& own) const;
  void CollectRecords(const LogPage& page, std::uint64_t own_offset);
  void Derive(const OrderHolderRecord& own);
  void AppendAfter(Milliseconds delay);
  void OnFailure();

  ControlTimers& timers;
  const Clock& clock;
  LogClient& log;
  LeaseOptions options;
  std::function<void(const std::optional<OrderAuthority>&)> changed;
  AppendTimes append_times;
  // Records of this server, as far as the present read-back has come.
  std::vector<OrderHolderRecord> records;
  // Time of the first record of the read-back, of any server.
  std::optional<WallMilliseconds> oldest_seen_ms;
  // Where the present read-back began.
  std::uint64_t window_from = 0;
  std::uint32_t failures = 0;
  bool busy = false;
  bool log_reachable = true;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
