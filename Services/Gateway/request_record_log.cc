// Records of crashes, trials and failed samples: their format, appends with
// retries, and the exchange with peers.

#include "request_record_log.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "LibProcess/process.h"
#include "peer_request.h"

namespace carobbank {

namespace {

// Longest time that one read waits for a record.
constexpr Milliseconds kReadWait{2'000};
// Retractions are not urgent, so several share an append.
constexpr Milliseconds kRetractionDelay{200};
// A server may fail many samples in a row. Every gateway reads each append, so
// the failures of this time share one.
constexpr Milliseconds kFailurePeriod{200};
constexpr Milliseconds kInitialBackoff{50};
constexpr Milliseconds kMaximumBackoff{400};
constexpr Milliseconds kPeerTimeout{400};
constexpr std::size_t kMaxRecordsPerAppend = 500;
// Beyond it, the record with the lowest key is no longer appended.
constexpr std::size_t kMaxUnconfirmed = 4'096;
// Records of streams of one version are shared during an outage of the log only
// below this number, so that the appends after it stay few.
constexpr std::size_t kMaxSharedInOutage = 256;
constexpr char kSeparator = '/';

struct CrashKey {
  std::string_view digest;
  std::string_view instance;
  WallMilliseconds started_at = 0;
};

std::string EncodeKey(std::string_view digest,
                      std::string_view instance,
                      WallMilliseconds started_at) {
  std::string key(digest);
  key.push_back(kSeparator);
  key.append(instance);
  key.push_back(kSeparator);
  key.append(std::to_string(started_at));
  return key;
}

std::optional<CrashKey> DecodeKey(std::string_view key) {
  if (IsTrialKey(key)) {
    return std::nullopt;
  }
  const std::size_t first = key.find(kSeparator);
  const std::size_t last = key.rfind(kSeparator);
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  const auto started_at = ParseInteger<WallMilliseconds>(key.substr(last + 1));
  if (!started_at) {
    return std::nullopt;
  }
  return CrashKey{key.substr(0, first), key.substr(first + 1, last - first - 1),
                  *started_at};
}

bool IsRecordKey(const std::string& key) {
  return DecodeTrial({key, ""}) || DecodeKey(key) || DecodeSampleFailure(key) ||
         IsStreamVersionKey(key) || IsStreamOriginKey(key);
}

void LogMalformed(const KeyedRecord& record) {
  WriteLog(LogLevel::kWarning,
           "request record ignored: it is malformed; compare the versions of "
           "the instances",
           {{"key", record.key}});
}

std::string EncodeValue(const CrashReport& report) {
  Json::Value value;
  value["at"] = Json::Int64(report.at);
  if (report.owed) {
    value["owed"] = true;
  }
  return WriteJson(value);
}

}  // namespace

RequestRecordLog::RequestRecordLog(GatewayEnvironment& environment,
                                   TopicPartition partition,
                                   std::vector<std::string> peers,
                                   RequestRecordHandlers handlers)
    : environment(environment),
      peers(std::move(peers)),
      handlers(std::move(handlers)),
      follower(environment.loop,
               environment.clock,
               environment.log,
               std::move(partition),
               {.wait = kReadWait},
               this->FollowerHandlers()) {}

RequestRecordLog::~RequestRecordLog() {
  *this->alive = false;
}

void RequestRecordLog::Start() {
  this->started = true;
  this->follower.Start();
}

LogFollowerHandlers RequestRecordLog::FollowerHandlers() {
  LogFollowerHandlers followed;
  followed.on_snapshot = [this](std::span<const KeyedLogRecord> records) {
    this->ApplySnapshot(records);
  };
  followed.on_record = [this](const KeyedLogRecord& record) {
    this->Confirm(record.record);
    this->ApplyConfirmedRecord(record.record);
  };
  followed.on_batch = [this] {
    if (this->handlers.on_read) {
      this->handlers.on_read();
    }
    if (this->follower.Next() == 0) {
      // A long poll on a partition without records may miss the first one.
      this->Put(EncodeNoOp(), Milliseconds(0));
    }
  };
  followed.on_reachable = [this](bool reachable) {
    if (!reachable) {
      this->SendToPeers();
    }
  };
  return followed;
}

void RequestRecordLog::ApplySnapshot(std::span<const KeyedLogRecord> records) {
  this->handlers.on_reset();
  for (const KeyedLogRecord& record : records) {
    this->Confirm(record.record);
    this->ApplyConfirmedRecord(record.record);
  }
  for (const auto& [key, value] : this->unconfirmed) {
    this->ApplyRecord({key, value});
  }
}

void RequestRecordLog::ApplyRecord(const KeyedRecord& record) {
  if (IsTrialKey(record.key)) {
    this->ApplyTrial(record);
    return;
  }
  if (IsStreamVersionKey(record.key)) {
    this->ApplyStream(record);
    return;
  }
  if (IsStreamOriginKey(record.key)) {
    return;
  }
  const auto failure = DecodeSampleFailure(record.key);
  if (!failure) {
    this->ApplyCrash(record);
  } else if (record.value.empty()) {
    this->handlers.on_sample_failure_removed(*failure);
  } else {
    this->handlers.on_sample_failure(*failure);
  }
}

void RequestRecordLog::ApplyConfirmedRecord(const KeyedRecord& record) {
  if (IsStreamOriginKey(record.key)) {
    this->ApplyOrigin(record);
  } else {
    this->ApplyRecord(record);
  }
}

void RequestRecordLog::ApplyOrigin(const KeyedRecord& record) {
  if (!this->handlers.on_origin) {
    return;
  }
  if (record.value.empty()) {
    this->handlers.on_origin_removed(record.key);
  } else if (const auto origin = DecodeStreamOrigin(record)) {
    this->handlers.on_origin(*origin);
  } else {
    LogMalformed(record);
  }
}

void RequestRecordLog::ApplyTrial(const KeyedRecord& record) {
  const std::optional<QuarantineTrial> trial = DecodeTrial(record);
  if (!trial) {
    LogMalformed(record);
  } else if (record.value.empty()) {
    this->handlers.on_trial_removed(*trial);
  } else {
    this->handlers.on_trial(*trial);
  }
}

void RequestRecordLog::ApplyCrash(const KeyedRecord& record) {
  const std::optional<CrashKey> key = DecodeKey(record.key);
  if (!key) {
    return;
  }
  if (record.value.empty()) {
    this->handlers.on_retracted(key->digest, key->instance, key->started_at);
    return;
  }
  const std::optional<Json::Value> value = ParseJsonObject(record.value);
  if (!value) {
    LogMalformed(record);
    return;
  }
  CrashReport report;
  report.instance = key->instance;
  report.digests = {std::string(key->digest)};
  report.started_at = key->started_at;
  report.at = JsonInteger(*value, "at");
  report.owed = JsonBoolean(*value, "owed", false);
  this->handlers.on_crash(report);
}

// Another gateway may have recorded the same crash with another time.
void RequestRecordLog::Confirm(const KeyedRecord& record) {
  const auto found = this->unconfirmed.find(record.key);
  if (found != this->unconfirmed.end() &&
      found->second.empty() == record.value.empty()) {
    this->sent_to_peers.erase(record.key);
    this->unconfirmed.erase(found);
  }
}

KeyedRecord RequestRecordLog::EncodeCrash(const CrashReport& report) {
  return {EncodeKey(report.digests.front(), report.instance, report.started_at),
          EncodeValue(report)};
}

void RequestRecordLog::ApplyStream(const KeyedRecord& record) {
  const auto stream = DecodeStreamVersion(record);
  if (!stream) {
    WriteLog(LogLevel::kWarning,
             "request record ignored: it names no software version",
             {{"key", record.key}});
  } else if (record.value.empty()) {
    this->handlers.on_stream_removed(stream->request_id);
  } else {
    this->handlers.on_stream(*stream);
  }
}

KeyedRecord RequestRecordLog::EncodeFailure(const SampleFailure& failure) {
  // The key says all; a record with an empty value would delete it.
  return {EncodeSampleFailure(failure), "{}"};
}

void RequestRecordLog::Record(const CrashReport& report) {
  this->Put(EncodeCrash(report), Milliseconds(0));
}

void RequestRecordLog::Record(const QuarantineTrial& trial) {
  this->Put(EncodeTrial(trial), Milliseconds(0));
}

void RequestRecordLog::Remove(const QuarantineTrial& trial) {
  this->Put({EncodeTrial(trial).key, ""}, Milliseconds(0));
}

void RequestRecordLog::Claim(const QuarantineTrial& trial, ClaimCallback done) {
  if (!this->started || !this->follower.Synced() ||
      !this->follower.Reachable()) {
    this->environment.loop.Post([done = std::move(done), kept = this->alive] {
      if (*kept) {
        done(AppendStatus::kRefused);
      }
    });
    return;
  }
  const std::vector<KeyedRecord> records = {EncodeTrial(trial)};
  this->environment.log.Append(
      this->follower.Partition(), records, this->follower.Next(),
      [this, kept = this->alive, records,
       done = std::move(done)](const AppendOutcome& outcome) {
        if (!*kept) {
          return;
        }
        if (outcome.status == AppendStatus::kAppended) {
          this->follower.DeliverOwnAppend(records, outcome.offset, outcome.end);
        }
        done(outcome.status);
      });
}

void RequestRecordLog::Record(const SampleFailure& failure) {
  this->Put(EncodeFailure(failure), this->DelayOfFailure());
}

void RequestRecordLog::Record(const StreamVersion& stream) {
  this->Put(EncodeStreamVersion(stream), this->DelayOfFailure());
}

void RequestRecordLog::Remove(const StreamVersion& stream) {
  this->Put({EncodeStreamVersion(stream).key, ""}, kRetractionDelay);
}

void RequestRecordLog::Record(const StreamOrigin& origin, Milliseconds delay) {
  this->Put(EncodeStreamOrigin(origin), delay);
}

void RequestRecordLog::Remove(const StreamOrigin& origin) {
  this->Put({EncodeStreamOrigin(origin).key, ""}, kRetractionDelay);
}

bool RequestRecordLog::Awaits(const KeyedRecord& record) const {
  const auto found = this->unconfirmed.find(record.key);
  return found != this->unconfirmed.end() && found->second == record.value;
}

bool RequestRecordLog::SharesWithPeersOnly() const {
  return this->started && !this->follower.Reachable() && !this->peers.empty() &&
         this->unconfirmed.size() < kMaxSharedInOutage;
}

void RequestRecordLog::Refresh(std::function<void(bool fresh)> done) {
  if (this->Synced() && this->follower.Reachable()) {
    this->follower.Refresh(
        [kept = this->alive, done = std::move(done)](bool fresh) {
          if (*kept) {
            done(fresh);
          }
        });
    return;
  }
  this->environment.loop.Post([done = std::move(done), kept = this->alive] {
    if (*kept) {
      done(false);
    }
  });
}

// The first failure after a while is shared at once, because its owner may be
// lost.
Milliseconds RequestRecordLog::DelayOfFailure() const {
  const MonotonicTime now = this->environment.clock.Now();
  if (this->last_flush == MonotonicTime::min() ||
      now - this->last_flush >= kFailurePeriod) {
    return Milliseconds(0);
  }
  return std::chrono::duration_cast<Milliseconds>(this->last_flush +
                                                  kFailurePeriod - now);
}

void RequestRecordLog::Remove(const SampleFailure& failure) {
  this->Put({EncodeSampleFailure(failure), ""}, kRetractionDelay);
}

void RequestRecordLog::Retract(std::string_view digest,
                               const ServerCrashRecord& crash) {
  this->Put({EncodeKey(digest, crash.instance, crash.started_at), ""},
            kRetractionDelay);
}

void RequestRecordLog::Put(KeyedRecord record, Milliseconds delay) {
  if (this->unconfirmed.size() >= kMaxUnconfirmed) {
    WriteLog(LogLevel::kWarning,
             "request record dropped: too many wait for the log",
             {{"key", this->unconfirmed.begin()->first}});
    this->unconfirmed.erase(this->unconfirmed.begin());
  }
  this->sent_to_peers.erase(record.key);
  this->unconfirmed[std::move(record.key)] = std::move(record.value);
  if (!this->follower.Reachable()) {
    this->SendToPeers();
  }
  this->ScheduleFlush(delay);
}

// A running backoff after a failure is not shortened.
void RequestRecordLog::ScheduleFlush(Milliseconds delay) {
  if (this->flush_timer && (this->backoff.count() > 0 || delay.count() > 0)) {
    return;
  }
  this->flush_timer = this->environment.loop.CallAfter(delay, [this] {
    this->flush_timer.reset();
    this->Flush();
  });
}

void RequestRecordLog::Flush() {
  if (this->appending || this->unconfirmed.empty()) {
    return;
  }
  std::vector<KeyedRecord> records;
  for (const auto& [key, value] : this->unconfirmed) {
    if (records.size() == kMaxRecordsPerAppend) {
      break;
    }
    records.push_back({key, value});
  }
  this->appending = true;
  this->last_flush = this->environment.clock.Now();
  // Unconditional: records of one key say the same, whichever gateway writes
  // them and however often.
  this->environment.log.Append(
      this->follower.Partition(), records, std::nullopt,
      [this, kept = this->alive, records](const AppendOutcome& outcome) {
        if (*kept) {
          this->OnAppended(records, outcome);
        }
      });
}

void RequestRecordLog::OnAppended(const std::vector<KeyedRecord>& records,
                                  const AppendOutcome& outcome) {
  this->appending = false;
  if (outcome.status == AppendStatus::kAppended) {
    if (this->backoff.count() > 0) {
      WriteLog(LogLevel::kInfo, "request records appended to the log again",
               {{"records", std::to_string(records.size())}});
    }
    this->backoff = Milliseconds(0);
    for (const KeyedRecord& record : records) {
      const auto found = this->unconfirmed.find(record.key);
      if (found != this->unconfirmed.end() && found->second == record.value) {
        this->sent_to_peers.erase(record.key);
        this->unconfirmed.erase(found);
      }
    }
    if (!this->unconfirmed.empty()) {
      this->ScheduleFlush(Milliseconds(0));
    }
    return;
  }
  if (this->backoff.count() == 0) {
    WriteLog(
        LogLevel::kWarning,
        "request records not appended to the log; sending them to peers and "
        "retrying",
        {{"records", std::to_string(records.size())},
         {"reason", outcome.reason}});
  }
  this->SendToPeers();
  this->backoff =
      std::clamp(this->backoff * 2, kInitialBackoff, kMaximumBackoff);
  this->flush_timer.reset();
  this->ScheduleFlush(this->backoff);
}

std::vector<KeyedRecord> RequestRecordLog::Unconfirmed() const {
  std::vector<KeyedRecord> records;
  for (const auto& [key, value] : this->unconfirmed) {
    records.push_back({key, value});
  }
  return records;
}

void RequestRecordLog::ReceiveFromPeer(
    const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (this->unconfirmed.contains(record.key) ||
        this->unconfirmed.size() >= kMaxUnconfirmed) {
      continue;
    }
    this->ApplyRecord(record);
    this->unconfirmed[record.key] = record.value;
    // The sender has sent it to all its peers.
    this->sent_to_peers.insert(record.key);
  }
  this->ScheduleFlush(kRetractionDelay);
}

void RequestRecordLog::ApplyConfirmed(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (this->unconfirmed.contains(record.key)) {
      continue;
    }
    // Origins that the peer has read before this gateway could. Afterwards the
    // peer may know less.
    if (this->follower.Synced()) {
      this->ApplyRecord(record);
    } else {
      this->ApplyConfirmedRecord(record);
    }
  }
}

void RequestRecordLog::SendToPeers() {
  std::vector<KeyedRecord> records;
  for (const auto& [key, value] : this->unconfirmed) {
    if (this->sent_to_peers.insert(key).second) {
      records.push_back({key, value});
    }
  }
  if (records.empty()) {
    return;
  }
  const std::string body = Encode(records);
  for (const std::string& peer : this->peers) {
    // A peer that misses the records reads them from the log later, or polls
    // them.
    this->environment.client.Fetch(
        MakePeerRequest(peer, kPath, body, kPeerTimeout),
        [](const Outcome<HttpResponse>&) {});
  }
}

Json::Value RequestRecordLog::ToJson(const std::vector<KeyedRecord>& records) {
  Json::Value rows(Json::arrayValue);
  for (const KeyedRecord& record : records) {
    Json::Value row(Json::arrayValue);
    row.append(record.key);
    row.append(record.value);
    rows.append(std::move(row));
  }
  return rows;
}

std::string RequestRecordLog::Encode(const std::vector<KeyedRecord>& records) {
  Json::Value body;
  body["crashes"] = ToJson(records);
  return WriteJson(body);
}

std::vector<KeyedRecord> RequestRecordLog::Decode(std::string_view text) {
  const std::optional<Json::Value> body = ParseJsonObject(text);
  return body ? FromJson((*body)["crashes"]) : std::vector<KeyedRecord>();
}

std::vector<KeyedRecord> RequestRecordLog::FromJson(const Json::Value& rows) {
  std::vector<KeyedRecord> records;
  if (!rows.isArray()) {
    return records;
  }
  for (const Json::Value& row : rows) {
    if (row.isArray() && row.size() == 2 && row[0].isString() &&
        row[1].isString() && IsRecordKey(row[0].asString())) {
      records.push_back({row[0].asString(), row[1].asString()});
    }
  }
  return records;
}

}  // namespace carobbank
