// Publishes documents: reads the configuration in force, appends to the log,
// and reads the outcome back from the log itself.

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
  kNotAppended,  // the log appended no record; nothing was published
  kUnknown,      // the outcome was not read from the log before the timeout
};

std::string_view PublishResultName(PublishResult result);

struct PublishReport {
  std::string file;
  std::string service;
  PublishResult result = PublishResult::kUnknown;
  // The revision that is in force now, and who published it.
  std::int64_t revision = kNoRevision;
  std::string publisher;
  // Why the document was refused or its outcome is unknown.
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
  // If empty, the revision in force when the command starts.
  std::optional<std::int64_t> base_revision;
  Milliseconds timeout{30'000};
};

class Publisher {
 public:
  Publisher(OperatorEnvironment& environment, PublishOptions options);

  // Reads the stream to its end. Fails with kUnavailable when the log can't be
  // read before the timeout, kExpired when the log retains neither the oldest
  // records nor a snapshot.
  Result<bool> CatchUp();
  const ConfigurationState& InForce() const;

  // One report per request, in their order. CatchUp() must have succeeded.
  std::vector<PublishReport> Publish(std::vector<PublishRequest>& requests);

 private:
  struct Pending {
    PublishRequest* request = nullptr;
    PublishReport* report = nullptr;
  };

  // Fills in the report and returns true when nothing needs to be appended.
  bool DecideWithoutAppending(const PublishRequest& request,
                              PublishReport& report) const;
  std::int64_t BaseRevisionOf(const PublishRequest& request) const;
  std::string BuildRecord(const std::vector<Pending>& pending) const;
  // Appends the documents and reads the log until it contains the outcome of
  // each one or the timeout has expired.
  void AppendUntilDecided(const std::vector<Pending>& pending);
  bool AllDecided(const std::vector<Pending>& pending) const;
  void ReportOutcome(const Pending& pending) const;
  std::optional<Error> ReadOnce();
  bool DeadlineHasPassed() const;
  // Writes progress, but not the same line twice in a row.
  void ReportProgress(const std::string& progress);

  OperatorEnvironment& environment;
  PublishOptions options;
  MonotonicTime deadline;
  ConfigurationFold fold;
  // The offset to read from next. Invariant: every record below it was read.
  std::uint64_t next = kOldestRetained;
  bool at_end = false;
  // False only while it is certain that no append has taken effect.
  bool may_have_appended = false;
  std::string last_problem;
  std::string last_reported;
};

}  // namespace carobbank
