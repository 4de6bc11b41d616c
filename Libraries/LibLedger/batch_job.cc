// Keys and JSON texts of jobs and results.

#include "LibLedger/batch_job.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr std::string_view kPiecePrefix = "j/";
constexpr std::string_view kResultPrefix = "r/";
constexpr std::string_view kEndPrefix = "e/";
constexpr std::string_view kNoOpKey = "m/";

// Bytes that a job's piece leaves free for the key of its record. Results are
// not split; each fits one record.
constexpr std::size_t kKeyReserveBytes = 512;

Json::Value EncodeSample(const JobSample& sample) {
  Json::Value value;
  value["id"] = sample.id;
  value["path"] = sample.path;
  value["body"] = sample.body_base64;
  value["tokens"] = Json::Int64(sample.tokens);
  value["expected"] = Json::Int64(sample.expected_output_tokens);
  Json::Value headers(Json::arrayValue);
  for (const SampleHeader& header : sample.headers) {
    Json::Value pair(Json::arrayValue);
    pair.append(header.name);
    pair.append(header.value);
    headers.append(std::move(pair));
  }
  value["headers"] = std::move(headers);
  if (!sample.group.empty()) {
    value["group"] = sample.group;
  }
  if (sample.reward) {
    Json::Value reward;
    reward["id"] = sample.reward->id;
    reward["host"] = sample.reward->host;
    reward["path"] = sample.reward->path;
    reward["body"] = sample.reward->body_base64;
    value["reward"] = std::move(reward);
  }
  return value;
}

JobSample DecodeSample(const Json::Value& value) {
  JobSample sample;
  sample.id = JsonString(value, "id");
  sample.path = JsonString(value, "path");
  sample.body_base64 = JsonString(value, "body");
  sample.tokens = JsonInteger(value, "tokens");
  sample.expected_output_tokens = JsonInteger(value, "expected");
  sample.group = JsonString(value, "group");
  for (const Json::Value& pair : value["headers"]) {
    if (pair.isArray() && pair.size() == 2 && pair[0].isString() &&
        pair[1].isString()) {
      sample.headers.push_back({pair[0].asString(), pair[1].asString()});
    }
  }
  const Json::Value& reward = value["reward"];
  if (reward.isObject()) {
    sample.reward =
        RewardCall{JsonString(reward, "id"), JsonString(reward, "host"),
                   JsonString(reward, "path"), JsonString(reward, "body")};
  }
  return sample;
}

std::string EncodeJobText(const BatchJob& job) {
  Json::Value value;
  value["id"] = job.id;
  value["host"] = job.host;
  value["path"] = job.path;
  if (!job.workspace.empty()) {
    value["workspace"] = job.workspace;
  }
  value["step"] = Json::Int64(job.step);
  value["model"] = job.model;
  value["min_version"] = Json::Int64(job.min_version);
  value["target_groups"] = Json::Int64(job.target_groups);
  value["accepted_at"] = Json::Int64(job.accepted_at);
  value["due_ms"] = Json::Int64(job.due.count());
  value["retention_ms"] = Json::Int64(job.abandon_after.count());
  Json::Value samples(Json::arrayValue);
  for (const JobSample& sample : job.samples) {
    samples.append(EncodeSample(sample));
  }
  value["samples"] = std::move(samples);
  return WriteJson(value);
}

// Removes the text up to the next slash from `rest` and returns it.
std::string_view ConsumeSegment(std::string_view& rest) {
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string_view segment = rest.substr(0, slash);
  rest.remove_prefix(std::min(slash + 1, rest.size()));
  return segment;
}

std::optional<JobKey> ParsePieceKey(std::string_view rest) {
  JobKey key;
  key.kind = JobKey::Kind::kPiece;
  key.job_id = ConsumeSegment(rest);
  const auto piece = ParseInteger<std::size_t>(ConsumeSegment(rest));
  const auto pieces = ParseInteger<std::size_t>(ConsumeSegment(rest));
  if (!piece || !pieces || *piece >= *pieces || !rest.empty()) {
    return std::nullopt;
  }
  key.piece = *piece;
  key.pieces = *pieces;
  return key;
}

}  // namespace

bool IsJobIdentifier(std::string_view text) {
  constexpr std::size_t kMaxCharacters = 80;
  return !text.empty() && text.size() <= kMaxCharacters &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') ||
                  (character >= 'a' && character <= 'z') ||
                  (character >= 'A' && character <= 'Z') || character == '-' ||
                  character == '_' || character == '.';
         });
}

std::string PieceKey(std::string_view job_id,
                     std::size_t piece,
                     std::size_t pieces) {
  return std::string(kPiecePrefix) + std::string(job_id) + "/" +
         std::to_string(piece) + "/" + std::to_string(pieces);
}

std::string ResultKey(std::string_view job_id, std::string_view sample_id) {
  return std::string(kResultPrefix) + std::string(job_id) + "/" +
         std::string(sample_id);
}

std::string EndKey(std::string_view job_id) {
  return std::string(kEndPrefix) + std::string(job_id);
}

std::vector<KeyedRecord> EncodeJob(const BatchJob& job,
                                   std::size_t max_record_bytes) {
  const std::string text = EncodeJobText(job);
  const std::size_t piece_bytes =
      std::max(max_record_bytes, 2 * kKeyReserveBytes) - kKeyReserveBytes;
  const std::size_t pieces = (text.size() + piece_bytes - 1) / piece_bytes;
  std::vector<KeyedRecord> records;
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    records.push_back({PieceKey(job.id, piece, pieces),
                       text.substr(piece * piece_bytes, piece_bytes)});
  }
  return records;
}

KeyedRecord EncodeResult(std::string_view job_id, const JobResult& result) {
  Json::Value value;
  value["completed"] = result.completed;
  if (result.completed) {
    value["output"] = result.output;
    value["score"] = result.score;
    value["versions"] = IntegersToJson(result.versions);
  }
  return {ResultKey(job_id, result.sample_id), WriteJson(value)};
}

KeyedRecord EncodeEnd(std::string_view job_id) {
  // A record with an empty value would delete its key.
  return {EndKey(job_id), "{}"};
}

KeyedRecord EncodeNoOp() {
  return {std::string(kNoOpKey), "{}"};
}

std::optional<BatchJob> DecodeJob(std::string_view text) {
  const std::optional<Json::Value> parsed = ParseJsonObject(text);
  if (!parsed) {
    return std::nullopt;
  }
  const Json::Value& value = *parsed;
  BatchJob job;
  job.id = JsonString(value, "id");
  job.host = JsonString(value, "host");
  job.path = JsonString(value, "path");
  job.workspace = JsonString(value, "workspace");
  job.step = JsonInteger(value, "step");
  job.model = JsonString(value, "model");
  job.min_version = JsonInteger(value, "min_version");
  job.target_groups = JsonInteger(value, "target_groups");
  job.accepted_at = JsonInteger(value, "accepted_at");
  job.due = Milliseconds(JsonInteger(value, "due_ms"));
  job.abandon_after = Milliseconds(JsonInteger(value, "retention_ms"));
  for (const Json::Value& sample : value["samples"]) {
    if (!sample.isObject()) {
      return std::nullopt;
    }
    job.samples.push_back(DecodeSample(sample));
  }
  if (!IsJobIdentifier(job.id) || job.samples.empty()) {
    return std::nullopt;
  }
  return job;
}

std::optional<JobResult> DecodeResult(std::string_view sample_id,
                                      std::string_view text) {
  const std::optional<Json::Value> value = ParseJsonObject(text);
  if (!value) {
    return std::nullopt;
  }
  JobResult result;
  result.sample_id = sample_id;
  result.completed = JsonBoolean(*value, "completed", false);
  result.output = JsonString(*value, "output");
  result.score = JsonString(*value, "score");
  for (const Json::Value& version : (*value)["versions"]) {
    if (version.isInt64()) {
      result.versions.push_back(version.asInt64());
    }
  }
  return result;
}

std::optional<JobKey> ParseJobKey(std::string_view key) {
  if (key.starts_with(kPiecePrefix)) {
    return ParsePieceKey(key.substr(kPiecePrefix.size()));
  }
  JobKey parsed;
  if (key.starts_with(kEndPrefix)) {
    parsed.kind = JobKey::Kind::kEnd;
    parsed.job_id = key.substr(kEndPrefix.size());
    return parsed;
  }
  if (key == kNoOpKey) {
    parsed.kind = JobKey::Kind::kNoOp;
    return parsed;
  }
  if (!key.starts_with(kResultPrefix)) {
    return std::nullopt;
  }
  std::string_view rest = key.substr(kResultPrefix.size());
  parsed.kind = JobKey::Kind::kResult;
  parsed.job_id = ConsumeSegment(rest);
  parsed.sample_id = rest;
  return parsed;
}

}  // namespace carobbank
