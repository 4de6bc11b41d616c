// Fetches status pages and formats them as text.

#include "LibOperator/process_status.h"

#include <fmt/format.h>

#include "LibContract/contract.h"

namespace carobbank {

namespace {

std::string ProcessLine(const Json::Value& process) {
  const Json::Value& status = process["status"];
  if (!process["reachable"].asBool()) {
    return fmt::format("  {}: not reachable: {}\n", JsonString(process, "url"),
                       JsonString(process, "problem"));
  }
  return fmt::format(
      "  {} {}/{}: offset {} digest {}{}{}\n", JsonString(process, "url"),
      JsonString(status, "data_center"), JsonString(status, "instance"),
      ConfigurationOffset(status), ConfigurationDigest(status).substr(0, 12),
      JsonBoolean(status, "draining", false) ? ", draining" : "",
      JsonBoolean(status, "log_reachable", true) ? "" : ", log not reachable");
}

std::string ServiceLine(const Json::Value& service) {
  return fmt::format(
      "  {} team {} class {} share {} ({:.1f}% asked, {:.1f}% served) revision "
      "{} queued {} running {} tokens {}\n",
      JsonString(service, "name"), JsonString(service, "team"),
      JsonString(service, "class"), JsonInteger(service, "share"),
      service["asked_percent"].asDouble(), service["served_percent"].asDouble(),
      JsonInteger(service, "revision"), JsonInteger(service, "queued"),
      JsonInteger(service, "running"), JsonInteger(service, "served_tokens"));
}

std::string ServerLine(const Json::Value& server) {
  return fmt::format(
      "  {} {} {} version {} running {} waiting {}{}\n",
      JsonString(server, "instance"), JsonString(server, "pool"),
      JsonString(server, "data_center"), JsonInteger(server, "version"),
      JsonInteger(server, "running"), JsonInteger(server, "waiting"),
      JsonBoolean(server, "takes_new_work", true) ? "" : ", takes no new work");
}

std::string ClaimLine(const Json::Value& claim) {
  return fmt::format("  {} key {} attempt {}\n", JsonString(claim, "service"),
                     JsonString(claim, "key_digest"),
                     JsonString(claim, "attempt"));
}

std::string DigestLine(const Json::Value& digest) {
  return "  " + (digest.isString() ? digest.asString() : WriteJson(digest)) +
         "\n";
}

struct Section {
  const char* key;
  std::string_view title;
  std::string (*line)(const Json::Value&);
};

constexpr Section kSections[] = {
    {"processes", "processes", &ProcessLine},
    {"services", "services", &ServiceLine},
    {"servers", "backend servers", &ServerLine},
    {"open_claims", "claims without a known outcome", &ClaimLine},
    {"quarantine", "quarantined request digests", &DigestLine},
};

}  // namespace

Outcome<Json::Value> FetchStatus(OperatorEnvironment& environment,
                                 std::string_view url,
                                 std::string_view token) {
  return Await<Json::Value>(environment,
                            [&](OperatorEnvironment::JsonCallback callback) {
                              environment.Fetch(std::string(url) + "/status",
                                                token, std::move(callback));
                            });
}

std::int64_t ConfigurationOffset(const Json::Value& status) {
  return JsonInteger(status, "offset",
                     JsonInteger(status, "config_offset", kNoRevision));
}

std::string ConfigurationDigest(const Json::Value& status) {
  return JsonString(status, "digest", JsonString(status, "config_digest"));
}

std::string StatusText(const Json::Value& merged) {
  std::string text;
  for (const Section& section : kSections) {
    const Json::Value& rows = merged[section.key];
    text += fmt::format("{} ({})\n", section.title, rows.size());
    for (const Json::Value& row : rows) {
      text += section.line(row);
    }
  }
  text += fmt::format("configuration agrees: {}\n",
                      merged["configuration_agrees"].asBool() ? "yes" : "no");
  return text;
}

}  // namespace carobbank
