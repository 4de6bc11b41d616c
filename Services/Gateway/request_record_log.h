// Shares among gateways which servers crashed under which requests, the trials
// of quarantined requests, which samples failed, and the origins and software
// versions of clients' streams, through one partition of the log. While the log
// is unreachable, records go directly to the peers, and wait to be appended.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "log_follower.h"
#include "sample_failures.h"
#include "stream_origins.h"
#include "stream_versions.h"
#include "trial_record.h"

namespace carobbank {

struct RequestRecordHandlers {
  // `report` names a single digest.
  std::function<void(const CrashReport& report)> on_crash;
  std::function<void(std::string_view digest,
                     std::string_view instance,
                     WallMilliseconds started_at)>
      on_retracted;
  std::function<void(const QuarantineTrial& trial)> on_trial;
  // Only digest and number of `trial` are set.
  std::function<void(const QuarantineTrial& trial)> on_trial_removed;
  std::function<void(const SampleFailure& failure)> on_sample_failure;
  std::function<void(const SampleFailure& failure)> on_sample_failure_removed;
  std::function<void(const StreamVersion& stream)> on_stream;
  std::function<void(std::string_view request_id)> on_stream_removed;
  // The log holds a record of the origin, or holds none any more.
  std::function<void(const StreamOrigin& origin)> on_origin;
  std::function<void(std::string_view key)> on_origin_removed;
  // All records that a read of the log returned were reported.
  std::function<void()> on_read;
  // The records reported next replace all earlier ones.
  std::function<void()> on_reset;
};

class RequestRecordLog {
 public:
  // `peers`: addresses such as "10.1.0.10:8166"; they may be stale.
  RequestRecordLog(GatewayEnvironment& environment,
                   TopicPartition partition,
                   std::vector<std::string> peers,
                   RequestRecordHandlers handlers);
  ~RequestRecordLog();
  RequestRecordLog(const RequestRecordLog&) = delete;
  RequestRecordLog& operator=(const RequestRecordLog&) = delete;

  void Start();
  // Start() was not called, all records were read once, or the log can't be
  // read.
  bool Settled() const {
    return !this->started || this->follower.Synced() ||
           !this->follower.Reachable();
  }
  // Shares a crash, or its retraction. `report` names a single digest.
  void Record(const CrashReport& report);
  void Retract(std::string_view digest, const ServerCrashRecord& crash);
  // Appends the trial, provided that this gateway has read all records of the
  // log. `done` receives kAppended when the trial is this gateway's; kConflict
  // when another record came first; otherwise it may be appended later.
  using ClaimCallback = std::function<void(AppendStatus status)>;
  void Claim(const QuarantineTrial& trial, ClaimCallback done);
  // Shares the outcome of a trial, or that it no longer counts.
  void Record(const QuarantineTrial& trial);
  void Remove(const QuarantineTrial& trial);
  // Shares a failure of a sample, or that it no longer counts.
  void Record(const SampleFailure& failure);
  void Remove(const SampleFailure& failure);
  // Shares the software version of a client's stream, or that the stream can't
  // be taken up any more.
  void Record(const StreamVersion& stream);
  void Remove(const StreamVersion& stream);

  // Shares an origin of streams, after `delay` unless the log has it by then,
  // or that no stream of it can be resumed any more.
  void Record(const StreamOrigin& origin, Milliseconds delay);
  void Remove(const StreamOrigin& origin);
  // The record waits to be appended.
  bool Awaits(const KeyedRecord& record) const;

  bool Started() const { return this->started; }
  // All records were read once.
  bool Synced() const { return this->started && this->follower.Synced(); }
  // The log is unreachable, and peers can take further records, without loss of
  // more important ones.
  bool SharesWithPeersOnly() const;
  // Calls `done(true)` after every record was reported that the log held when
  // Refresh() was called; `done(false)` if the log can't be read.
  void Refresh(std::function<void(bool fresh)> done);

  // Records that the log has not confirmed yet, for peers.
  std::vector<KeyedRecord> Unconfirmed() const;
  // Applies unconfirmed records of a peer and appends them too, because the
  // peer may be lost before the log is reachable.
  void ReceiveFromPeer(const std::vector<KeyedRecord>& records);
  // Applies records that a peer has read from the log.
  void ApplyConfirmed(const std::vector<KeyedRecord>& records);

  static KeyedRecord EncodeCrash(const CrashReport& report);
  static KeyedRecord EncodeFailure(const SampleFailure& failure);

  // Path of a peer's records, sent with POST.
  static constexpr std::string_view kPath = "/peer/crashes";
  static std::string Encode(const std::vector<KeyedRecord>& records);
  static Json::Value ToJson(const std::vector<KeyedRecord>& records);
  // Both skip records in an unknown form.
  static std::vector<KeyedRecord> Decode(std::string_view text);
  static std::vector<KeyedRecord> FromJson(const Json::Value& rows);

 private:
  LogFollowerHandlers FollowerHandlers();
  void ApplySnapshot(std::span<const KeyedLogRecord> records);
  void ApplyRecord(const KeyedRecord& record);
  void ApplyCrash(const KeyedRecord& record);
  void ApplyTrial(const KeyedRecord& record);
  void ApplyStream(const KeyedRecord& record);
  // A record that the log holds. Only such records of origins count: the
  // others may be lost.
  void ApplyConfirmedRecord(const KeyedRecord& record);
  void ApplyOrigin(const KeyedRecord& record);
  void Confirm(const KeyedRecord& record);
  void Put(KeyedRecord record, Milliseconds delay);
  Milliseconds DelayOfFailure() const;
  void ScheduleFlush(Milliseconds delay);
  void Flush();
  void OnAppended(const std::vector<KeyedRecord>& records,
                  const AppendOutcome& outcome);
  void SendToPeers();

  GatewayEnvironment& environment;
  std::vector<std::string> peers;
  RequestRecordHandlers handlers;
  LogFollower follower;
  bool started = false;
  // Values by key, to be appended.
  std::map<std::string, std::string, std::less<>> unconfirmed;
  // Keys in `unconfirmed` that were sent to the peers.
  std::set<std::string, std::less<>> sent_to_peers;
  bool appending = false;
  MonotonicTime last_flush = MonotonicTime::min();
  Milliseconds backoff{0};
  std::unique_ptr<Timer> flush_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
