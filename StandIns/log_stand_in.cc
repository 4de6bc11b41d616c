// Appends, reads, retention and faults of the log's stand-in.

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
// A page holds at least one record, however long it is.
constexpr std::size_t kMaxPageBytes = 4 * 1024 * 1024;

constexpr SettingField<LogSettings> kLogSettings[] = {
    {"appends_per_second", &LogSettings::appends_per_second},
    {"retention_records", &LogSettings::retention_records},
    {"retention_ms", &LogSettings::retention_ms},
    {"outage", &LogSettings::outage},
    {"append_outage", &LogSettings::append_outage},
    {"read_outage", &LogSettings::read_outage},
    {"refuse_appends", &LogSettings::refuse_appends},
    {"lose_answers", &LogSettings::lose_answers},
    {"lose_requests", &LogSettings::lose_requests},
    {"late_answers", &LogSettings::late_answers},
    {"late_answer_ms", &LogSettings::late_answer_ms},
};

// The stream of "/streams/{stream}/records", or nothing.
std::string StreamOf(std::string_view path) {
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

Result<void> LogStandIn::ControlMember(const std::string& name,
                                       const Json::Value& value) {
  return ApplySetting<LogSettings>(kLogSettings, name, value, this->settings);
}

void LogStandIn::ShowControl(Json::Value& shown) const {
  ShowSettings<LogSettings>(kLogSettings, this->settings, shown);
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
  const std::string stream = StreamOf(request.Path());
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
  const bool within_budget = this->append_budget.Take(
      this->settings.appends_per_second, this->clock.Now());
  if (!within_budget || TakeOne(this->settings.refuse_appends)) {
    SendCode(*responder, 429, "append_budget");
    return;
  }
  if (TakeOne(this->settings.lose_requests)) {
    responder->Abort();
    return;
  }
  Stream& stream = this->streams[name];
  Json::Value answer;
  answer["offset"] = Json::UInt64{stream.records.size()};
  stream.records.push_back({this->clock.WallNow(), payload});
  if (TakeOne(this->settings.lose_answers)) {
    responder->Abort();
  } else if (TakeOne(this->settings.late_answers)) {
    this->After(
        Milliseconds(this->settings.late_answer_ms),
        [responder, answer] { responder->Send(JsonResponse(200, answer)); });
  } else {
    responder->Send(JsonResponse(200, answer));
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
  Read read;
  read.stream = name;
  read.from = QueryNumber(request, "from", 0);
  read.max_records = QueryNumber(request, "max", kDefaultMaxRecords);
  read.id = this->next_read_id++;
  read.responder = std::move(responder);
  const std::uint64_t wait_ms =
      std::min(QueryNumber(request, "wait_ms", 0), kMaxWaitMs);
  if (wait_ms == 0 || this->HasAnswer(read)) {
    this->AnswerRead(read);
    return;
  }
  this->After(Milliseconds(wait_ms),
              [this, id = read.id] { this->EndWait(id); });
  this->waiting_reads.push_back(std::move(read));
}

void LogStandIn::Expire(Stream& stream) {
  const std::uint64_t count = stream.records.size();
  const auto keep =
      static_cast<std::uint64_t>(this->settings.retention_records);
  if (keep > 0 && count > keep) {
    stream.first_retained = std::max(stream.first_retained, count - keep);
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

bool LogStandIn::HasAnswer(const Read& read) {
  const auto found = this->streams.find(read.stream);
  if (found == this->streams.end()) {
    return false;
  }
  this->Expire(found->second);
  return read.from < found->second.records.size();
}

void LogStandIn::AnswerRead(const Read& read) {
  // Reading an unknown stream doesn't make it exist.
  Stream unknown;
  const auto found = this->streams.find(read.stream);
  Stream& stream = found == this->streams.end() ? unknown : found->second;
  this->Expire(stream);
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

void LogStandIn::EndWait(std::uint64_t read_id) {
  for (auto read = this->waiting_reads.begin();
       read != this->waiting_reads.end(); ++read) {
    if (read->id == read_id) {
      this->AnswerRead(*read);
      this->waiting_reads.erase(read);
      return;
    }
  }
}

void LogStandIn::ServeWaitingReads(const std::string& stream) {
  for (auto read = this->waiting_reads.begin();
       read != this->waiting_reads.end();) {
    const bool ready = read->stream == stream && this->HasAnswer(*read);
    if (!ready) {
      ++read;
      continue;
    }
    this->AnswerRead(*read);
    read = this->waiting_reads.erase(read);
  }
}

}  // namespace carobbank
