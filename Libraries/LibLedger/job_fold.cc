// Applies the records of jobs, results and ends.

#include "LibLedger/job_fold.h"

#include <utility>

namespace carobbank {

std::optional<std::size_t> JobState::IndexOf(std::string_view sample_id) const {
  const auto found = this->sample_index.find(std::string(sample_id));
  if (found == this->sample_index.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool JobFold::Apply(std::string_view key, std::string_view value) {
  const std::optional<JobKey> parsed = ParseJobKey(key);
  if (!parsed) {
    ++this->malformed_records;
    return false;
  }
  if (value.empty()) {
    return this->ApplyDeletion(*parsed);
  }
  switch (parsed->kind) {
    case JobKey::Kind::kPiece:
      return this->ApplyPiece(*parsed, value);
    case JobKey::Kind::kResult:
      return this->ApplyResult(*parsed, value);
    case JobKey::Kind::kEnd:
      return this->ApplyEnd(*parsed);
    case JobKey::Kind::kNoOp:
      break;
  }
  return false;
}

bool JobFold::ApplyPiece(const JobKey& key, std::string_view value) {
  if (this->jobs.contains(key.job_id)) {
    return false;
  }
  if (key.pieces == 1) {
    return this->Accept(key.job_id, value, 1);
  }
  Assembly& assembly = this->assemblies[std::string(key.job_id)];
  if (assembly.pieces.size() != key.pieces) {
    assembly = Assembly();
    assembly.pieces.resize(key.pieces);
  }
  std::string& piece = assembly.pieces[key.piece];
  assembly.present += piece.empty() ? 1 : 0;
  piece = value;
  if (assembly.present < key.pieces) {
    return false;
  }
  std::string text;
  for (const std::string& part : assembly.pieces) {
    text += part;
  }
  this->assemblies.erase(std::string(key.job_id));
  return this->Accept(key.job_id, text, key.pieces);
}

bool JobFold::Accept(std::string_view job_id,
                     std::string_view text,
                     std::size_t pieces) {
  std::optional<BatchJob> job = DecodeJob(text);
  if (!job || job->id != job_id) {
    ++this->malformed_records;
    return false;
  }
  TrackedJob& tracked = this->jobs[std::string(job_id)];
  tracked.pieces = pieces;
  tracked.state.job = std::move(*job);
  tracked.state.has_result.resize(tracked.state.job.samples.size());
  for (std::size_t i = 0; i < tracked.state.job.samples.size(); ++i) {
    tracked.state.sample_index[tracked.state.job.samples[i].id] = i;
  }
  return true;
}

bool JobFold::ApplyResult(const JobKey& key, std::string_view value) {
  const auto found = this->jobs.find(key.job_id);
  std::optional<JobResult> result = DecodeResult(key.sample_id, value);
  if (found == this->jobs.end() || !result) {
    ++this->malformed_records;
    return false;
  }
  JobState& state = found->second.state;
  const std::optional<std::size_t> index = state.IndexOf(key.sample_id);
  if (!index || state.has_result[*index]) {
    return false;
  }
  state.has_result[*index] = true;
  std::string().swap(state.job.samples[*index].body_base64);
  state.results.push_back(std::move(*result));
  return true;
}

bool JobFold::ApplyEnd(const JobKey& key) {
  const auto found = this->jobs.find(key.job_id);
  if (found == this->jobs.end() || found->second.state.ended) {
    return false;
  }
  found->second.state.ended = true;
  return true;
}

bool JobFold::ApplyDeletion(const JobKey& key) {
  if (key.kind != JobKey::Kind::kPiece) {
    return false;
  }
  this->assemblies.erase(std::string(key.job_id));
  const auto found = this->jobs.find(key.job_id);
  if (found == this->jobs.end()) {
    return false;
  }
  this->jobs.erase(found);
  return true;
}

void JobFold::Clear() {
  this->assemblies.clear();
  this->jobs.clear();
}

const JobState* JobFold::Find(std::string_view job_id) const {
  const auto found = this->jobs.find(job_id);
  return found == this->jobs.end() ? nullptr : &found->second.state;
}

std::vector<const JobState*> JobFold::Jobs() const {
  std::vector<const JobState*> states;
  states.reserve(this->jobs.size());
  for (const auto& [id, tracked] : this->jobs) {
    states.push_back(&tracked.state);
  }
  return states;
}

std::vector<std::string> JobFold::KeysOf(std::string_view job_id) const {
  std::vector<std::string> keys;
  const auto found = this->jobs.find(job_id);
  if (found == this->jobs.end()) {
    return keys;
  }
  const TrackedJob& tracked = found->second;
  for (const JobResult& result : tracked.state.results) {
    keys.push_back(ResultKey(job_id, result.sample_id));
  }
  if (tracked.state.ended) {
    keys.push_back(EndKey(job_id));
  }
  // The pieces go last: deleting one removes the job from the fold.
  for (std::size_t piece = 0; piece < tracked.pieces; ++piece) {
    keys.push_back(PieceKey(job_id, piece, tracked.pieces));
  }
  return keys;
}

}  // namespace carobbank
