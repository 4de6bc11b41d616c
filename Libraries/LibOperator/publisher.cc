// The publisher's two loops: catching up, and appending until the log contains
// the outcome of each document.

#include "LibOperator/publisher.h"

#include <algorithm>
#include <ostream>

namespace carobbank {

namespace {

constexpr Milliseconds kRetryDelay{200};
constexpr std::size_t kRecordsPerRead = 500;

}  // namespace

std::string_view PublishResultName(PublishResult result) {
  switch (result) {
    case PublishResult::kInForce:
      return "in_force";
    case PublishResult::kAlreadyInForce:
      return "already_in_force";
    case PublishResult::kSuperseded:
      return "superseded";
    case PublishResult::kRefused:
      return "refused";
    case PublishResult::kNotAppended:
      return "not_appended";
    case PublishResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Publisher::Publisher(OperatorEnvironment& environment, PublishOptions options)
    : environment(environment),
      options(std::move(options)),
      deadline(environment.GetClock().Now() + this->options.timeout) {}

const ConfigurationState& Publisher::InForce() const {
  return *this->fold.State();
}

void Publisher::ReportProgress(const std::string& progress) {
  if (progress == this->last_reported) {
    return;
  }
  this->last_reported = progress;
  this->environment.Progress() << progress << "\n";
}

bool Publisher::DeadlineHasPassed() const {
  return this->environment.GetClock().Now() >= this->deadline;
}

std::optional<Error> Publisher::ReadOnce() {
  LogClient& log = this->environment.LogClientFor(this->options.log_url);
  const auto page =
      Await<LogPage>(this->environment, [&](LogClient::ReadCallback callback) {
        log.Read(kConfigurationStream, this->next, kRecordsPerRead,
                 Milliseconds(0), std::move(callback));
      });
  if (!page.Ok()) {
    this->at_end = false;
    this->last_problem = page.GetError().Text();
    if (page.GetError().kind == ErrorKind::kExpired) {
      this->next = kOldestRetained;
    }
    return page.GetError();
  }
  for (const LogRecord& record : page.Value().records) {
    this->fold.Apply(static_cast<std::int64_t>(record.offset), record.time_ms,
                     record.payload);
    this->next = record.offset + 1;
  }
  if (this->next == kOldestRetained) {
    this->next = page.Value().end;
  }
  this->at_end = this->next >= page.Value().end;
  return std::nullopt;
}

Result<bool> Publisher::CatchUp() {
  while (!this->at_end) {
    const std::optional<Error> problem = this->ReadOnce();
    if (!problem) {
      continue;
    }
    if (this->DeadlineHasPassed()) {
      return Fail(*problem);
    }
    this->ReportProgress(problem->Text());
    this->environment.Wait(kRetryDelay);
  }
  if (static_cast<std::uint64_t>(this->fold.NextOffset()) != this->next ||
      !this->fold.HasNoGap()) {
    return Fail(ErrorKind::kExpired,
                "the log retains neither the oldest documents nor a snapshot",
                "let an entry that still has them append a snapshot, then "
                "publish again");
  }
  return true;
}

std::int64_t Publisher::BaseRevisionOf(const PublishRequest& request) const {
  if (this->options.base_revision) {
    return *this->options.base_revision;
  }
  const ServiceInForce* present =
      this->fold.State()->Find(request.document.name);
  return present == nullptr ? kNoRevision : present->revision;
}

bool Publisher::DecideWithoutAppending(const PublishRequest& request,
                                       PublishReport& report) const {
  const ServiceInForce* present =
      this->fold.State()->Find(request.document.name);
  if (present == nullptr) {
    if (this->BaseRevisionOf(request) == kNoRevision) {
      return false;
    }
    report.result = PublishResult::kRefused;
    report.detail = "the service has no revision yet; omit --base-revision";
    return true;
  }
  report.revision = present->revision;
  report.publisher = present->publisher;
  if (present->digest == DocumentDigest(request.document)) {
    report.result = PublishResult::kAlreadyInForce;
    return true;
  }
  if (present->document.team != request.document.team) {
    report.result = PublishResult::kRefused;
    report.detail =
        "the service belongs to the team '" + present->document.team + "'";
    return true;
  }
  if (this->BaseRevisionOf(request) != present->revision) {
    report.result = PublishResult::kRefused;
    report.detail = "based on revision " +
                    std::to_string(this->BaseRevisionOf(request)) + " while " +
                    std::to_string(present->revision) + " of " +
                    present->publisher + " is in force";
    return true;
  }
  return false;
}

std::vector<PublishReport> Publisher::Publish(
    std::vector<PublishRequest>& requests) {
  std::vector<PublishReport> reports(requests.size());
  std::vector<Pending> pending;
  for (std::size_t index = 0; index < requests.size(); ++index) {
    PublishRequest& request = requests[index];
    reports[index].file = request.file;
    reports[index].service = request.document.name;
    if (!this->DecideWithoutAppending(request, reports[index])) {
      request.publish_id = this->environment.GetRandom().Identifier();
      pending.push_back({&request, &reports[index]});
    }
  }
  if (!pending.empty()) {
    this->AppendUntilDecided(pending);
  }
  for (const Pending& item : pending) {
    this->ReportOutcome(item);
  }
  return reports;
}

std::string Publisher::BuildRecord(const std::vector<Pending>& pending) const {
  std::vector<ConfigurationEntry> entries;
  for (const Pending& item : pending) {
    const PublishRequest& request = *item.request;
    entries.emplace_back(PublishEntry{
        request.document.name, this->BaseRevisionOf(request), request.text,
        this->options.publisher, request.publish_id});
  }
  return WriteConfigurationRecord(entries);
}

void Publisher::AppendUntilDecided(const std::vector<Pending>& pending) {
  // Every attempt has the same publish ids and base revisions, so that the fold
  // refuses duplicates.
  const std::string record = this->BuildRecord(pending);
  LogClient& log = this->environment.LogClientFor(this->options.log_url);
  while (true) {
    const auto offset = Await<std::uint64_t>(
        this->environment, [&](LogClient::AppendCallback callback) {
          log.Append(kConfigurationStream, record, std::move(callback));
        });
    this->may_have_appended |=
        offset.Ok() || offset.GetError().kind == ErrorKind::kOutcomeUnknown;
    if (!offset.Ok()) {
      this->last_problem = offset.GetError().Text();
      this->ReportProgress(this->last_problem);
    }
    // A confirmed append isn't repeated; only reading goes on.
    do {
      this->ReadOnce();
      if (this->AllDecided(pending) || this->DeadlineHasPassed()) {
        return;
      }
      this->environment.Wait(kRetryDelay);
    } while (offset.Ok());
  }
}

bool Publisher::AllDecided(const std::vector<Pending>& pending) const {
  return std::ranges::all_of(pending, [this](const Pending& item) {
    return this->fold.OutcomeOf(item.request->publish_id).has_value();
  });
}

void Publisher::ReportOutcome(const Pending& pending) const {
  PublishReport& report = *pending.report;
  const auto outcome = this->fold.OutcomeOf(pending.request->publish_id);
  const ServiceInForce* present =
      this->fold.State()->Find(pending.request->document.name);
  if (present != nullptr) {
    report.revision = present->revision;
    report.publisher = present->publisher;
  }
  if (!outcome) {
    report.result = this->may_have_appended ? PublishResult::kUnknown
                                            : PublishResult::kNotAppended;
    report.detail = this->last_problem;
    return;
  }
  if (outcome->decision != PublishDecision::kInForce) {
    report.result = PublishResult::kRefused;
    report.detail = outcome->detail;
    if (!outcome->previous_publisher.empty()) {
      report.detail += ", published by " + outcome->previous_publisher;
    }
    return;
  }
  const bool still = present->publish_id == pending.request->publish_id;
  report.result = still ? PublishResult::kInForce : PublishResult::kSuperseded;
}

}  // namespace carobbank
