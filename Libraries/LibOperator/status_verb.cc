// `carobbank status`: merges the status pages of processes.

#include <map>
#include <ostream>
#include <set>

#include "LibOperator/process_status.h"
#include "LibOperator/verbs.h"

namespace carobbank {

namespace {

constexpr double kHundredPercent = 100;

// Totals of one service over all processes.
struct ServiceTotals {
  // The service's row on the status page with the highest configuration offset.
  Json::Value declared;
  std::int64_t queued = 0;
  std::int64_t running = 0;
  std::int64_t served_tokens = 0;
};

// Merges status pages; each service, server, claim and digest appears once.
class StatusMerger {
 public:
  void AddUnreachable(const std::string& url, const Error& error) {
    Json::Value row;
    row["url"] = url;
    row["reachable"] = false;
    row["problem"] = error.Text();
    this->processes.append(std::move(row));
  }

  void Add(const std::string& url, const Json::Value& status) {
    Json::Value row;
    row["url"] = url;
    row["reachable"] = true;
    row["status"] = status;
    this->processes.append(std::move(row));
    this->digests.insert(ConfigurationDigest(status));
    const bool newest = ConfigurationOffset(status) >= this->highest_offset;
    if (newest) {
      this->highest_offset = ConfigurationOffset(status);
    }
    this->AddServices(status, newest);
    this->AddServers(status);
    this->AddClaims(status);
    this->AddQuarantine(status);
  }

  Json::Value Merged() const {
    Json::Value merged;
    merged["processes"] = this->processes;
    merged["configuration_agrees"] = this->digests.size() <= 1;
    merged["services"] = this->Services();
    merged["servers"] = Values(this->servers);
    merged["open_claims"] = Values(this->claims);
    merged["quarantine"] = Json::Value(Json::arrayValue);
    for (const std::string& digest : this->quarantine) {
      merged["quarantine"].append(digest);
    }
    return merged;
  }

 private:
  using Rows = std::map<std::string, Json::Value>;

  static Json::Value Values(const Rows& rows) {
    Json::Value list(Json::arrayValue);
    for (const auto& [key, row] : rows) {
      list.append(row);
    }
    return list;
  }

  void AddServices(const Json::Value& status, bool newest) {
    for (const Json::Value& row : status["services"]) {
      if (!row.isObject()) {
        continue;
      }
      // Entries declare services under "name", sidecars count under "service".
      const std::string name =
          JsonString(row, "name", JsonString(row, "service"));
      ServiceTotals& totals = this->services[name];
      if (newest && row.isMember("share")) {
        totals.declared = row;
      }
      totals.queued += JsonInteger(row, "queued");
      totals.running += JsonInteger(row, "running");
      totals.served_tokens += JsonInteger(row, "served_tokens");
    }
  }

  void AddServers(const Json::Value& status) {
    for (const Json::Value& row : status["servers"]) {
      this->servers[JsonString(row, "instance")] = row;
    }
    if (status.isMember("pool")) {
      // The sidecar's own report on its backend server takes precedence over
      // the rows of entries.
      Json::Value row;
      for (const char* key : {"instance", "pool", "data_center", "version",
                              "running", "waiting"}) {
        row[key] = status[key];
      }
      row["takes_new_work"] = !JsonBoolean(status, "draining", false);
      this->servers[JsonString(status, "instance")] = row;
    }
  }

  void AddClaims(const Json::Value& status) {
    if (!status["keys"].isObject()) {
      return;
    }
    for (const Json::Value& row : status["keys"]["open"]) {
      this->claims[JsonString(row, "service") + JsonString(row, "attempt")] =
          row;
    }
  }

  void AddQuarantine(const Json::Value& status) {
    for (const Json::Value& digest : status["quarantine"]) {
      this->quarantine.insert(digest.isString() ? digest.asString()
                                                : WriteJson(digest));
    }
  }

  Json::Value Services() const {
    std::map<std::string, std::int64_t> shares;
    std::map<std::string, std::int64_t> tokens;
    for (const auto& [name, totals] : this->services) {
      const std::string group = JsonString(totals.declared, "class");
      shares[group] += JsonInteger(totals.declared, "share");
      tokens[group] += totals.served_tokens;
    }
    Json::Value list(Json::arrayValue);
    for (const auto& [name, totals] : this->services) {
      const std::string group = JsonString(totals.declared, "class");
      const std::int64_t share = JsonInteger(totals.declared, "share");
      Json::Value row = totals.declared;
      row["name"] = name;
      row["queued"] = Json::Int64(totals.queued);
      row["running"] = Json::Int64(totals.running);
      row["served_tokens"] = Json::Int64(totals.served_tokens);
      row["asked_percent"] = Percent(share, shares[group]);
      row["served_percent"] = Percent(totals.served_tokens, tokens[group]);
      list.append(std::move(row));
    }
    return list;
  }

  static double Percent(std::int64_t amount, std::int64_t total) {
    return total == 0 ? 0
                      : kHundredPercent * static_cast<double>(amount) /
                            static_cast<double>(total);
  }

  Json::Value processes{Json::arrayValue};
  std::set<std::string> digests;
  std::int64_t highest_offset = -1;
  std::map<std::string, ServiceTotals> services;
  Rows servers;
  Rows claims;
  std::set<std::string> quarantine;
};

}  // namespace

ExitCode RunStatus(const StatusArguments& arguments,
                   OperatorEnvironment& environment) {
  StatusMerger merger;
  ExitCode code = ExitCode::kOk;
  for (const std::string& url : arguments.processes) {
    const auto status = FetchStatus(environment, url, arguments.token);
    if (status.Ok() && status.Value().isObject()) {
      merger.Add(url, status.Value());
      continue;
    }
    code = ExitCode::kFailed;
    merger.AddUnreachable(url, status.Ok()
                                   ? Error{ErrorKind::kCorrupt,
                                           "not a status page", "check the URL"}
                                   : status.GetError());
  }
  const Json::Value merged = merger.Merged();
  environment.Out() << (arguments.json ? WriteJson(merged) + "\n"
                                       : StatusText(merged));
  return code;
}

}  // namespace carobbank
