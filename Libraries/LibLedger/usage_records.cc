// Codecs of the records of usage reports.

#include "LibLedger/usage_records.h"

namespace carobbank {

namespace {

constexpr std::string_view kCountsPrefix = "c/";
constexpr std::string_view kReportPrefix = "r/";

Json::Value CountsToJson(const UsageCounts& counts) {
  Json::Value object(Json::objectValue);
  for (const auto& [workspace, count] : counts) {
    object[workspace] = Json::Int64(count);
  }
  return object;
}

std::optional<UsageCounts> CountsFromJson(const Json::Value& object) {
  if (!object.isObject()) {
    return std::nullopt;
  }
  UsageCounts counts;
  for (const std::string& workspace : object.getMemberNames()) {
    if (!object[workspace].isInt64()) {
      return std::nullopt;
    }
    counts[workspace] = object[workspace].asInt64();
  }
  return counts;
}

}  // namespace

std::int64_t UsageWindowAt(WallMilliseconds at, Milliseconds length) {
  return at / length.count();
}

WallMilliseconds UsageWindowEnd(std::int64_t window, Milliseconds length) {
  return (window + 1) * length.count();
}

KeyedRecord EncodeUsageCounts(const UsageCountsRecord& record) {
  Json::Value value;
  value["sequence"] = Json::Int64(record.sequence);
  value["counts"] = CountsToJson(record.counts);
  return {std::string(kCountsPrefix) + std::to_string(record.window) + "/" +
              record.process + "/" + std::to_string(record.epoch),
          WriteJson(value)};
}

KeyedRecord EncodeUsageReport(const UsageReportRecord& record) {
  Json::Value value;
  value["counts"] = CountsToJson(record.report.counts);
  value["sent"] = record.sent;
  return {std::string(kReportPrefix) + std::to_string(record.report.window),
          WriteJson(value)};
}

std::optional<UsageCountsRecord> DecodeUsageCountsKey(std::string_view key) {
  if (!key.starts_with(kCountsPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kCountsPrefix.size());
  const std::size_t first = key.find('/');
  const std::size_t last = key.rfind('/');
  if (first == std::string_view::npos || last <= first + 1) {
    return std::nullopt;
  }
  const auto window = ParseInteger<std::int64_t>(key.substr(0, first));
  const auto epoch = ParseInteger<std::int64_t>(key.substr(last + 1));
  if (!window || !epoch) {
    return std::nullopt;
  }
  UsageCountsRecord record;
  record.window = *window;
  record.process = key.substr(first + 1, last - first - 1);
  record.epoch = *epoch;
  return record;
}

std::optional<UsageCountsRecord> DecodeUsageCounts(const KeyedRecord& record) {
  std::optional<UsageCountsRecord> decoded = DecodeUsageCountsKey(record.key);
  const std::optional<Json::Value> value = ParseJsonObject(record.value);
  if (!decoded || !value || !(*value)["sequence"].isInt64()) {
    return std::nullopt;
  }
  std::optional<UsageCounts> counts = CountsFromJson((*value)["counts"]);
  if (!counts) {
    return std::nullopt;
  }
  decoded->sequence = (*value)["sequence"].asInt64();
  decoded->counts = std::move(*counts);
  return decoded;
}

std::optional<std::int64_t> DecodeUsageReportKey(std::string_view key) {
  if (!key.starts_with(kReportPrefix)) {
    return std::nullopt;
  }
  return ParseInteger<std::int64_t>(key.substr(kReportPrefix.size()));
}

std::optional<UsageReportRecord> DecodeUsageReport(const KeyedRecord& record) {
  const std::optional<std::int64_t> window = DecodeUsageReportKey(record.key);
  const std::optional<Json::Value> value = ParseJsonObject(record.value);
  if (!window || !value) {
    return std::nullopt;
  }
  std::optional<UsageCounts> counts = CountsFromJson((*value)["counts"]);
  if (!counts) {
    return std::nullopt;
  }
  UsageReportRecord decoded;
  decoded.report = {*window, std::move(*counts)};
  decoded.sent = JsonBoolean(*value, "sent", false);
  return decoded;
}

}  // namespace carobbank
