// Stands in for the append-only log service.

#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "StandIns/rate_budget.h"
#include "StandIns/stand_in.h"

namespace carobbank {

struct LogSettings {
  // Zero in a limit means none.
  std::int64_t appends_per_second = 0;
  std::int64_t retention_records = 0;
  std::int64_t retention_ms = 0;
  // 503 for everything, for appends, for reads.
  bool outage = false;
  bool append_outage = false;
  bool read_outage = false;
  // The next appends are refused with 429, as over the budget.
  std::int64_t refuse_appends = 0;
  // The next appends take effect and their connection is cut.
  std::int64_t lose_answers = 0;
  // The next appends are cut before they take effect.
  std::int64_t lose_requests = 0;
  // The next appends take effect and are answered after late_answer_ms.
  std::int64_t late_answers = 0;
  std::int64_t late_answer_ms = 10'000;
};

class LogStandIn final : public StandIn {
 public:
  using StandIn::StandIn;

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ControlMember(const std::string& name,
                             const Json::Value& value) override;
  void ShowControl(Json::Value& shown) const override;
  // {"streams": {name: [records]}} with the expired ones as well.
  Json::Value Record() const override;
  // The log is durable: a crash loses only its connections.
  void OnDown() override;

 private:
  struct StoredRecord {
    WallMilliseconds time_ms = 0;
    std::string payload;
  };

  struct Stream {
    // Invariant: index is offset.
    std::vector<StoredRecord> records;
    // Invariant: never decreases.
    std::uint64_t first_retained = 0;
  };

  struct Read {
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
  void Expire(Stream& stream);
  bool HasAnswer(const Read& read);
  void AnswerRead(const Read& read);
  void EndWait(std::uint64_t read_id);
  void ServeWaitingReads(const std::string& stream);

  LogSettings settings;
  RateBudget append_budget;
  std::map<std::string, Stream> streams;
  std::list<Read> waiting_reads;
  std::uint64_t next_read_id = 0;
};

}  // namespace carobbank
