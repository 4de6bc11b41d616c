// Simulates the append-only log service.

#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "StandIns/rate_limiter.h"
#include "StandIns/stand_in.h"

namespace carobbank {

struct LogStandInSettings {
  // For each limit, zero means no limit.
  std::int64_t appends_per_second = 0;
  std::int64_t retention_records = 0;
  std::int64_t retention_ms = 0;
  // Respond with 503 to all requests, to appends, to reads.
  bool outage = false;
  bool append_outage = false;
  bool read_outage = false;
  // The next N appends are refused with 429, as if over the append rate limit.
  std::int64_t refuse_appends = 0;
  // The next N appends take effect, but their connection is aborted.
  std::int64_t lose_answers = 0;
  // The connections of the next N appends are aborted before they take effect.
  std::int64_t lose_requests = 0;
  // The next N appends take effect at once; their responses are sent
  // late_answer_ms later.
  std::int64_t late_answers = 0;
  std::int64_t late_answer_ms = 10'000;
};

class LogStandIn final : public StandIn {
 public:
  using StandIn::StandIn;

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ApplyControlMember(const std::string& name,
                                  const Json::Value& value) override;
  void WriteControlState(Json::Value& state) const override;
  // {"streams": {name: [records]}}, expired records included.
  Json::Value Record() const override;
  // The log is durable: a crash loses only connections.
  void OnDown() override;

 private:
  struct StoredRecord {
    WallMilliseconds time_ms = 0;
    std::string payload;
  };

  struct Stream {
    // Invariant: the record at index i has offset i.
    std::vector<StoredRecord> records;
    // Invariant: never decreases.
    std::uint64_t first_retained = 0;
  };

  struct PendingRead {
    std::string stream;
    std::uint64_t from = 0;
    std::uint64_t max_records = 0;
    std::uint64_t id = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  void HandleAppend(const std::string& stream,
                    const HttpRequest& request,
                    std::shared_ptr<HttpResponder> responder);
  void HandleRead(const std::string& stream,
                  const HttpRequest& request,
                  std::shared_ptr<HttpResponder> responder);
  void ExpireRecords(Stream& stream);
  bool HasRecords(const PendingRead& read);
  void RespondToRead(const PendingRead& read);
  void OnWaitElapsed(std::uint64_t read_id);
  void ServeWaitingReads(const std::string& stream);

  LogStandInSettings settings;
  RateLimiter append_budget;
  std::map<std::string, Stream> streams;
  std::list<PendingRead> waiting_reads;
  std::uint64_t next_read_id = 0;
};

}  // namespace carobbank
