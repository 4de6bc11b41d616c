// Appends, reads, retention and injected faults of the log stand-in.

#include "StandIns/log_stand_in.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kPrefix = "/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr std::uint64_t kDefaultMaxRecords = 1'000;
constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;
// Limit for the payloads of a page, except that a page has at least one record.
constexpr std::size_t kMaxPageBytes = 4 * 1024 * 1024;

constexpr SettingField<LogStandInSettings> kLogSettings[] = {
    {"appends_per_second", &LogStandInSettings::appends_per_second},
    {"retention_records", &LogStandInSettings::retention_records},
    {"retention_ms", &LogStandInSettings::retention_ms},
    {"outage", &LogStandInSettings::outage},
    {"append_outage", &LogStandInSettings::append_outage},
    {"read_outage", &LogStandInSettings::read_outage},
    {"refuse_appends", &LogStandInSettings::refuse_appends},
    {"lose_answers", &LogStandInSettings::lose_answers},
    {"lose_requests", &LogStandInSettings::lose_requests},
    {"late_answers", &LogStandInSettings::late_answers},
    {"late_answer_ms", &LogStandInSettings::late_answer_ms},
};

// The stream name in "/streams/{stream}/records"; empty for any other path.
std::string StreamFromPath(std::string_view path) {
  const bool matches = path.size() > kPrefix.size() + kSuffix.size() &&
                       path.starts_with(kPrefix) && path.ends_with(kSuffix);
  if (!matches) {
    return "";
  }
  path.remove_prefix(kPrefix.size());
  path.remove_suffix(kSuffix.size());
  return std::string(path);
}

std::uint64_t QueryNumber(const HttpRequest& request,
                          std::string_view name,
                          std::uint64_t fallback) {
  const auto text = request.Query(name);
  if (!text.has_value()) {
    return fallback;
  }
  std::uint64_t value = fallback;
  std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

}  // namespace

Result<void> LogStandIn::ApplyControlMember(const std::string& name,
                                            const Json::Value& value) {
  return ApplySetting<LogStandInSettings>(kLogSettings, name, value,
                                          this->settings);
}

void LogStandIn::WriteControlState(Json::Value& state) const {
  WriteSettings<LogStandInSettings>(kLogSettings, this->settings, state);
}

void LogStandIn::OnDown() {
  this->waiting_reads.clear();
}

Json::Value LogStandIn::Record() const {
  Json::Value streams(Json::objectValue);
  for (const auto& [name, stream] : this->streams) {
    Json::Value records(Json::arrayValue);
    for (std::size_t offset = 0; offset < stream.records.size(); ++offset) {
      Json::Value record;
      record["offset"] = Json::UInt64{offset};
      record["time_ms"] = Json::Int64{stream.records[offset].time_ms};
      record["payload"] = stream.records[offset].payload;
      records.append(std::move(record));
    }
    streams[name] = std::move(records);
  }
  Json::Value result;
  result["streams"] = std::move(streams);
  return result;
}

void LogStandIn::Handle(const HttpRequest& request,
                        std::shared_ptr<HttpResponder> responder) {
  const std::string stream = StreamFromPath(request.Path());
  if (stream.empty()) {
    SendCode(*responder, 404, "unknown_path");
    return;
  }
  if (request.method == "POST") {
    this->HandleAppend(stream, request, std::move(responder));
    return;
  }
  this->HandleRead(stream, request, std::move(responder));
}

void LogStandIn::HandleAppend(const std::string& name,
                              const HttpRequest& request,
                              std::shared_ptr<HttpResponder> responder) {
  if (this->settings.outage || this->settings.append_outage) {
    SendCode(*responder, 503, "outage");
    return;
  }
  const auto body = Capture([&] { return ParseJson(request.body); });
  const bool has_payload = body.Ok() && body.Value().isObject() &&
                           body.Value()["payload"].isString();
  if (!has_payload) {
    SendCode(*responder, 400, "no_payload");
    return;
  }
  const std::string payload = body.Value()["payload"].asString();
  if (payload.size() > kMaxRecordBytes) {
    SendCode(*responder, 413, "record_too_long");
    return;
  }
  const bool within_budget = this->append_budget.TryAcquire(
      this->settings.appends_per_second, this->clock.Now());
  if (!within_budget || ConsumeFault(this->settings.refuse_appends)) {
    SendCode(*responder, 429, "append_budget");
    return;
  }
  if (ConsumeFault(this->settings.lose_requests)) {
    responder->Abort();
    return;
  }
  Stream& stream = this->streams[name];
  Json::Value response_body;
  response_body["offset"] = Json::UInt64{stream.records.size()};
  stream.records.push_back({this->clock.WallNow(), payload});
  if (ConsumeFault(this->settings.lose_answers)) {
    responder->Abort();
  } else if (ConsumeFault(this->settings.late_answers)) {
    this->After(Milliseconds(this->settings.late_answer_ms),
                [responder, response_body] {
                  responder->Send(JsonResponse(200, response_body));
                });
  } else {
    responder->Send(JsonResponse(200, response_body));
  }
  this->ServeWaitingReads(name);
}

void LogStandIn::HandleRead(const std::string& name,
                            const HttpRequest& request,
                            std::shared_ptr<HttpResponder> responder) {
  if (this->settings.outage || this->settings.read_outage) {
    SendCode(*responder, 503, "outage");
    return;
  }
  PendingRead read;
  read.stream = name;
  read.from = QueryNumber(request, "from", 0);
  read.max_records = QueryNumber(request, "max", kDefaultMaxRecords);
  read.id = this->next_read_id++;
  read.responder = std::move(responder);
  const std::uint64_t wait_ms =
      std::min(QueryNumber(request, "wait_ms", 0), kMaxWaitMs);
  if (wait_ms == 0 || this->HasRecords(read)) {
    this->RespondToRead(read);
    return;
  }
  this->After(Milliseconds(wait_ms),
              [this, id = read.id] { this->OnWaitElapsed(id); });
  this->waiting_reads.push_back(std::move(read));
}

void LogStandIn::ExpireRecords(Stream& stream) {
  const std::uint64_t count = stream.records.size();
  const auto max_records =
      static_cast<std::uint64_t>(this->settings.retention_records);
  if (max_records > 0 && count > max_records) {
    stream.first_retained =
        std::max(stream.first_retained, count - max_records);
  }
  if (this->settings.retention_ms == 0) {
    return;
  }
  const WallMilliseconds oldest =
      this->clock.WallNow() - this->settings.retention_ms;
  while (stream.first_retained < count &&
         stream.records[stream.first_retained].time_ms < oldest) {
    ++stream.first_retained;
  }
}

bool LogStandIn::HasRecords(const PendingRead& read) {
  const auto found = this->streams.find(read.stream);
  if (found == this->streams.end()) {
    return false;
  }
  this->ExpireRecords(found->second);
  return read.from < found->second.records.size();
}

void LogStandIn::RespondToRead(const PendingRead& read) {
  // Reading an unknown stream doesn't create it.
  Stream unknown;
  const auto found = this->streams.find(read.stream);
  Stream& stream = found == this->streams.end() ? unknown : found->second;
  this->ExpireRecords(stream);
  Json::Value page;
  page["first_retained"] = Json::UInt64{stream.first_retained};
  page["end"] = Json::UInt64{stream.records.size()};
  page["records"] = Json::Value(Json::arrayValue);
  if (read.from < stream.first_retained) {
    read.responder->Send(JsonResponse(410, page));
    return;
  }
  std::size_t page_bytes = 0;
  for (std::uint64_t offset = read.from;
       offset < stream.records.size() &&
       page["records"].size() < read.max_records;
       ++offset) {
    page_bytes += stream.records[offset].payload.size();
    if (page_bytes > kMaxPageBytes && offset > read.from) {
      break;
    }
    Json::Value record;
    record["offset"] = Json::UInt64{offset};
    record["time_ms"] = Json::Int64{stream.records[offset].time_ms};
    record["payload"] = stream.records[offset].payload;
    page["records"].append(std::move(record));
  }
  read.responder->Send(JsonResponse(200, page));
}

void LogStandIn::OnWaitElapsed(std::uint64_t read_id) {
  for (auto read = this->waiting_reads.begin();
       read != this->waiting_reads.end(); ++read) {
    if (read->id == read_id) {
      this->RespondToRead(*read);
      this->waiting_reads.erase(read);
      return;
    }
  }
}

void LogStandIn::ServeWaitingReads(const std::string& stream) {
  for (auto read = this->waiting_reads.begin();
       read != this->waiting_reads.end();) {
    const bool ready = read->stream == stream && this->HasRecords(*read);
    if (!ready) {
      ++read;
      continue;
    }
    this->RespondToRead(*read);
    read = this->waiting_reads.erase(read);
  }
}

}  // namespace carobbank
