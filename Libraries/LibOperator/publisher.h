// Publishing documents: reads what is in force, appends, and finds out from the
// log itself what became of the records.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/contract.h"
#include "LibOperator/environment.h"

namespace carobbank {

enum class PublishResult {
  kInForce,
  kAlreadyInForce,  // the same document was in force before
  kSuperseded,      // was in force, and another document replaced it since
  kRefused,
  kNotAppended,  // the log took no record; nothing was published
  kUnknown,      // the log did not tell within the time
};

std::string_view PublishResultName(PublishResult result);

struct PublishReport {
  std::string file;
  std::string service;
  PublishResult result = PublishResult::kUnknown;
  // The revision that is in force now, and who published it.
  std::int64_t revision = kNoRevision;
  std::string publisher;
  // Why it was refused or is not known.
  std::string detail;
};

// One file to be published.
struct PublishRequest {
  std::string file;
  std::string text;
  ServiceDocument document;
  std::string publish_id;
};

struct PublishOptions {
  std::string log_url;
  std::string publisher;
  // Nothing: the revision in force when the verb starts.
  std::optional<std::int64_t> base_revision;
  Milliseconds timeout{30'000};
};

class Publisher {
 public:
  Publisher(OperatorEnvironment& environment, PublishOptions options);

  // Reads the stream to its end. Fails with kUnavailable when the log can't be
  // read in time, kExpired when older records are gone without a snapshot.
  Result<bool> CatchUp();
  const ConfigurationState& InForce() const;

  // One report per request, in their order. CatchUp() must have succeeded.
  std::vector<PublishReport> Publish(std::vector<PublishRequest>& requests);

 private:
  struct Pending {
    PublishRequest* request = nullptr;
    PublishReport* report = nullptr;
  };

  // Fills the report when nothing needs to be appended.
  bool SettledBefore(const PublishRequest& request,
                     PublishReport& report) const;
  std::int64_t BaseOf(const PublishRequest& request) const;
  std::string RecordOf(const std::vector<Pending>& pending) const;
  // Appends and reads until the fate of all is known or the time is over.
  void AppendAndFollow(const std::vector<Pending>& pending);
  bool AllFolded(const std::vector<Pending>& pending) const;
  void Settle(const Pending& pending) const;
  std::optional<Error> ReadOnce();
  bool TimeIsOver() const;
  // Writes progress, but not the same line twice in a row.
  void Tell(const std::string& progress);

  OperatorEnvironment& environment;
  PublishOptions options;
  MonotonicTime deadline;
  ConfigurationFold fold;
  // Invariant: everything below it was read once.
  std::uint64_t next = kOldestRetained;
  bool at_end = false;
  // False only while every append has certainly left nothing behind.
  bool may_be_appended = false;
  std::string last_problem;
  std::string last_told;
};

}  // namespace carobbank
