// `carobbank publish`: validates documents, appends them to the log and reports
// their outcome.

#include <algorithm>
#include <ostream>
#include <set>

#include "LibOperator/line_difference.h"
#include "LibOperator/process_status.h"
#include "LibOperator/publisher.h"
#include "LibOperator/verbs.h"

namespace carobbank {

namespace {

constexpr Milliseconds kPollInterval{200};

// One entry's progress towards the published offset.
struct EntryProgress {
  std::string url;
  std::int64_t offset = kNoRevision;
  bool reached = false;
  // The latest error of reading the entry's status.
  std::string problem;
};

ValidationResult<std::vector<PublishRequest>> LoadRequests(
    std::span<const std::string> files) {
  ValidationResult<std::vector<PublishRequest>> loaded;
  std::set<std::string> names;
  for (const std::string& file : files) {
    const auto text =
        Capture([&] { return ReadTextFile(file, kMaxDocumentBytes); });
    if (!text.Ok()) {
      loaded.report.Add(
          {file, 1, 1, "", text.GetError().message, text.GetError().remedy});
      continue;
    }
    auto checked = ParseServiceDocument(file, text.Value());
    loaded.report.Append(checked.report);
    if (!checked.Ok()) {
      continue;
    }
    if (!names.insert(checked.value.name).second) {
      loaded.report.Add({file, 1, 1, "name",
                         "another file declares a service of the same name",
                         "publish one document for each service"});
    }
    loaded.value.push_back({file, text.Value(), std::move(checked.value), ""});
  }
  return loaded;
}

ExitCode ExitCodeOf(PublishResult result) {
  switch (result) {
    case PublishResult::kInForce:
    case PublishResult::kAlreadyInForce:
      return ExitCode::kOk;
    case PublishResult::kSuperseded:
    case PublishResult::kRefused:
      return ExitCode::kRefused;
    case PublishResult::kNotAppended:
      return ExitCode::kFailed;
    case PublishResult::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kFailed;
}

std::string ReportText(const PublishReport& report) {
  std::string text = report.file + ": " + report.service + ": " +
                     std::string(PublishResultName(report.result));
  if (report.revision != kNoRevision) {
    text += ", revision " + std::to_string(report.revision) + " of " +
            report.publisher + " is in force";
  }
  if (!report.detail.empty()) {
    text += "; " + report.detail;
  }
  if (report.result == PublishResult::kUnknown) {
    text += "; repeat the same command, it is safe";
  }
  return text;
}

Json::Value ReportJson(const PublishReport& report) {
  Json::Value value;
  value["file"] = report.file;
  value["service"] = report.service;
  value["result"] = std::string(PublishResultName(report.result));
  value["revision"] = Json::Int64(report.revision);
  value["publisher"] = report.publisher;
  value["detail"] = report.detail;
  return value;
}

ExitCode ShowDifferences(const std::vector<PublishRequest>& requests,
                         const ConfigurationState& state,
                         bool json,
                         std::ostream& out) {
  Json::Value list(Json::arrayValue);
  for (const PublishRequest& request : requests) {
    const ServiceInForce* present = state.Find(request.document.name);
    const std::string before = present == nullptr ? "" : present->text;
    const std::int64_t revision =
        present == nullptr ? kNoRevision : present->revision;
    const std::string difference = LineDifference(before, request.text);
    if (!json) {
      out << request.file << ": against revision " << revision << "\n"
          << difference;
      continue;
    }
    Json::Value row;
    row["file"] = request.file;
    row["service"] = request.document.name;
    row["base_revision"] = Json::Int64(revision);
    row["difference"] = difference;
    list.append(std::move(row));
  }
  if (json) {
    out << WriteJson(list) << "\n";
  }
  return ExitCode::kOk;
}

void PollEntry(EntryProgress& entry,
               const std::string& token,
               std::int64_t offset,
               OperatorEnvironment& environment) {
  const auto status = FetchStatus(environment, entry.url, token);
  if (!status.Ok()) {
    if (entry.problem != status.GetError().Text()) {
      entry.problem = status.GetError().Text();
      environment.Progress() << entry.problem << "\n";
    }
    return;
  }
  entry.offset = ConfigurationOffset(status.Value());
  entry.reached = entry.offset >= offset;
}

// Polls until every entry has reached `offset` or the timeout has expired.
std::vector<EntryProgress> WaitForEntries(const PublishArguments& arguments,
                                          std::int64_t offset,
                                          OperatorEnvironment& environment) {
  const MonotonicTime deadline =
      environment.GetClock().Now() + arguments.timeout;
  std::vector<EntryProgress> entries;
  for (const std::string& url : arguments.entries) {
    entries.emplace_back().url = url;
  }
  std::ptrdiff_t last_reported = -1;
  while (true) {
    for (EntryProgress& entry : entries) {
      if (!entry.reached) {
        PollEntry(entry, arguments.token, offset, environment);
      }
    }
    const auto reached =
        std::ranges::count_if(entries, &EntryProgress::reached);
    const bool all = reached == static_cast<std::ptrdiff_t>(entries.size());
    if (all || environment.GetClock().Now() >= deadline) {
      return entries;
    }
    if (reached != last_reported) {
      environment.Progress() << "in force at " << reached << " of "
                             << entries.size() << " entries\n";
      last_reported = reached;
    }
    environment.Wait(kPollInterval);
  }
}

void Print(const std::vector<PublishReport>& reports,
           const std::vector<EntryProgress>& entries,
           bool json,
           std::ostream& out) {
  Json::Value document;
  document["documents"] = Json::Value(Json::arrayValue);
  document["entries"] = Json::Value(Json::arrayValue);
  for (const PublishReport& report : reports) {
    document["documents"].append(ReportJson(report));
    if (!json) {
      out << ReportText(report) << "\n";
    }
  }
  for (const EntryProgress& entry : entries) {
    Json::Value row;
    row["url"] = entry.url;
    row["offset"] = Json::Int64(entry.offset);
    row["in_force"] = entry.reached;
    document["entries"].append(std::move(row));
    if (!json) {
      out << entry.url << ": offset " << entry.offset
          << (entry.reached ? ", in force\n" : ", not yet in force\n");
    }
  }
  if (json) {
    out << WriteJson(document) << "\n";
  }
}

ExitCode PublishAndReport(const PublishArguments& arguments,
                          Publisher& publisher,
                          std::vector<PublishRequest>& requests,
                          OperatorEnvironment& environment) {
  const std::vector<PublishReport> reports = publisher.Publish(requests);
  ExitCode code = ExitCode::kOk;
  std::int64_t offset = kNoRevision;
  for (const PublishReport& report : reports) {
    code = std::max(code, ExitCodeOf(report.result));
    offset = std::max(offset, report.revision);
  }
  std::vector<EntryProgress> entries;
  if (code == ExitCode::kOk) {
    entries = WaitForEntries(arguments, offset, environment);
    if (!std::ranges::all_of(entries, &EntryProgress::reached)) {
      code = ExitCode::kNotYetEverywhere;
    }
  }
  Print(reports, entries, arguments.json, environment.Out());
  return code;
}

}  // namespace

ExitCode RunPublish(const PublishArguments& arguments,
                    OperatorEnvironment& environment) {
  auto requests = LoadRequests(arguments.files);
  if (!requests.Ok()) {
    environment.Progress() << requests.report.Text();
    return ExitCode::kInvalid;
  }
  PublishOptions options;
  options.log_url = arguments.log_url;
  options.publisher = arguments.publisher;
  options.base_revision = arguments.base_revision;
  options.timeout = arguments.timeout;
  Publisher publisher(environment, std::move(options));
  const auto catch_up = Capture([&] { return publisher.CatchUp(); });
  if (!catch_up.Ok()) {
    environment.Progress() << "nothing was published: "
                           << catch_up.GetError().Text() << "\n";
    return ExitCode::kFailed;
  }
  if (arguments.dry_run) {
    return ShowDifferences(requests.value, publisher.InForce(), arguments.json,
                           environment.Out());
  }
  return PublishAndReport(arguments, publisher, requests.value, environment);
}

}  // namespace carobbank
