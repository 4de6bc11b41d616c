// Renews this sidecar's order lease in the log's stream `servers`, and derives
// from the log whether the sidecar may issue orders to its engine.

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
  // Wall-clock time in milliseconds when this process started.
  std::uint64_t incarnation = 0;
  LeaseTerms terms;
  Milliseconds renew_interval{80'000};
  // The engine checks fencing tokens. Then one record is enough until the
  // engine refuses an order because of its fencing token.
  bool engine_checks_fencing = false;
};

class LeaseKeeper {
 public:
  // `changed` receives the authority, or nothing while another sidecar has it.
  LeaseKeeper(
      ControlTimers& timers,
      const Clock& clock,
      LogClient& log,
      LeaseOptions options,
      std::function<void(const std::optional<OrderAuthority>&)> changed);

  void Start();
  // The engine reported a higher fencing token than this sidecar's.
  void OnFenced();
  bool LogReachable() const { return this->log_reachable; }

 private:
  void Append();
  void OnAppended(MonotonicTime started, const Outcome<std::uint64_t>& offset);
  // Discards the records read so far and reads those in [from, own_offset].
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
  // Records of this server that the current read-back has read so far.
  std::vector<OrderHolderRecord> records;
  // Time of the first record in the read-back, of any server.
  std::optional<WallMilliseconds> oldest_seen_ms;
  // First offset of the current read-back.
  std::uint64_t window_from = 0;
  std::uint32_t failures = 0;
  bool busy = false;
  bool log_reachable = true;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
