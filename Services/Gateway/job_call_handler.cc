// Submissions, long polls of results, bodies and ends of jobs.

#include "job_call_handler.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "job_access.h"
#include "refusals.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGatewayTimeout = 504;

// After this time without a confirmation from the log, the caller should retry
// at another instance, which may reach the log.
constexpr Milliseconds kLogTimeout{2'500};
constexpr Milliseconds kRetryAfter{500};
// The partition is refreshed if its last read is older, before a read is left
// waiting because there are no further results.
constexpr Milliseconds kMaxStateAge{300};
// Bound of the results in one response. A single result that is longer is sent
// as the only one of its response.
constexpr std::size_t kMaxPageBytes = 900'000;

HttpResponse TextResponse(int status, std::string_view type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", std::string(type)});
  response.body = std::move(body);
  return response;
}

HttpResponse LogUnavailable() {
  return NotRunResponse("log_unavailable",
                        "the log of batch jobs is unreachable", kRetryAfter);
}

HttpResponse OutcomeUnknown() {
  return MayHaveRunResponse(kGatewayTimeout, "outcome_unknown",
                            "the log did not confirm the change in time");
}

HttpResponse JobIdInUse() {
  return ClientErrorResponse(kConflict, "job_id_in_use",
                             "another workspace's batch job has this id",
                             "submit the job under a new id");
}

// A job's submission while its records are being appended to the log.
struct Submission {
  std::string job_id;
  MonotonicTime began;
  // Records whose write has not finished.
  std::size_t pending_writes = 0;
  bool answered = false;
};

// The response to the caller, if the outcome of this record's write decides it:
// the first failed write does, or the last one when all succeeded.
std::optional<HttpResponse> ResponseAfterWrite(Submission& submission,
                                               WriteOutcome outcome) {
  --submission.pending_writes;
  const bool done = outcome == WriteOutcome::kDone;
  if (submission.answered || (done && submission.pending_writes > 0)) {
    return std::nullopt;
  }
  submission.answered = true;
  if (done) {
    return HttpResponse{kAccepted, {}, ""};
  }
  return outcome == WriteOutcome::kNotWritten ? LogUnavailable()
                                              : OutcomeUnknown();
}

void LogSubmission(const Submission& submission,
                   int status,
                   MonotonicTime now) {
  const auto took =
      std::chrono::duration_cast<Milliseconds>(now - submission.began);
  WriteLog(status == kAccepted ? LogLevel::kInfo : LogLevel::kWarning,
           "job submission finished",
           {{"job", submission.job_id},
            {"status", std::to_string(status)},
            {"took_ms", std::to_string(took.count())}});
}

std::size_t EndOfPage(const std::vector<JobResult>& results,
                      std::size_t first) {
  // Quotes, member names and the other members of one result.
  constexpr std::size_t kFramingBytes = 200;
  std::size_t bytes = 0;
  std::size_t end = first;
  while (end < results.size()) {
    bytes += results[end].output.size() + kFramingBytes;
    if (end > first && bytes > kMaxPageBytes) {
      break;
    }
    ++end;
  }
  return end;
}

}  // namespace

JobCallHandler::JobCallHandler(GatewayEnvironment& environment)
    : environment(environment) {}

JobCallHandler::~JobCallHandler() {
  *this->alive = false;
}

const JobState* JobCallHandler::FindJob(const JobCall& call,
                                        const JobPartition& partition) const {
  const JobState* const state = partition.Fold().Find(call.job_id);
  const bool visible =
      state != nullptr &&
      MayUse(call.caller, state->job, this->environment.configuration.get());
  return visible ? state : nullptr;
}

HttpResponse JobCallHandler::NoSuchJob(const JobCall& call) const {
  return NoSuchJobResponse(call.caller,
                           this->environment.dialect.HeaderNames());
}

void JobCallHandler::AfterRefresh(JobPartition& partition,
                                  std::shared_ptr<HttpResponder> responder,
                                  std::function<void()> then) {
  partition.Refresh([kept = this->alive, responder = std::move(responder),
                     then = std::move(then)](bool fresh) {
    if (!*kept) {
      return;
    }
    if (fresh) {
      then();
    } else {
      responder->Send(LogUnavailable());
    }
  });
}

void JobCallHandler::Submit(const HostRoute& route,
                            BatchJob job,
                            JobPartition& partition,
                            std::shared_ptr<HttpResponder> responder) {
  job.accepted_at = this->environment.clock.WallNow();
  job.due = route.due;
  job.abandon_after = route.abandon_after;
  if (const JobState* const accepted = partition.Fold().Find(job.id)) {
    responder->Send(MaySubmitAgain(job, accepted->job,
                                   this->environment.configuration.get())
                        ? HttpResponse{kAccepted, {}, ""}
                        : JobIdInUse());
    return;
  }
  this->WriteJob(partition, job, std::min(kLogTimeout, route.timeout),
                 std::move(responder));
}

void JobCallHandler::WriteJob(JobPartition& partition,
                              const BatchJob& job,
                              Milliseconds timeout,
                              std::shared_ptr<HttpResponder> responder) {
  const auto& settings = this->environment.settings;
  const std::vector<KeyedRecord> records =
      EncodeJob(job, static_cast<std::size_t>(settings.log_record_bytes));
  auto submission = std::make_shared<Submission>();
  submission->pending_writes = records.size();
  submission->job_id = job.id;
  submission->began = this->environment.clock.Now();
  for (const KeyedRecord& record : records) {
    JobWrite write;
    write.records.push_back(record);
    write.timeout = timeout;
    write.is_redundant = [id = job.id](const JobFold& fold) {
      return fold.Find(id) != nullptr;
    };
    write.done = [this, submission, responder, &partition,
                  workspace = job.workspace](WriteOutcome outcome) {
      if (std::optional<HttpResponse> response =
              ResponseAfterWrite(*submission, outcome)) {
        // Another workspace's submission may have been first.
        const JobState* const state = partition.Fold().Find(submission->job_id);
        if (state != nullptr && !workspace.empty() &&
            !state->job.workspace.empty() &&
            state->job.workspace != workspace) {
          response = JobIdInUse();
        }
        LogSubmission(*submission, response->status,
                      this->environment.clock.Now());
        responder->Send(std::move(*response));
      }
    };
    partition.Write(std::move(write));
  }
}

void JobCallHandler::Handle(const JobCall& call,
                            JobPartition& partition,
                            std::shared_ptr<HttpResponder> responder) {
  switch (call.kind) {
    case JobCallKind::kReadResults:
      this->ReadResults(call, partition, responder);
      return;
    case JobCallKind::kReadBody:
      this->ReadBody(call, partition, std::move(responder));
      return;
    case JobCallKind::kEnd:
      this->EndJob(call, partition, std::move(responder));
      return;
  }
}

void JobCallHandler::WithJob(const JobCall& call,
                             JobPartition& partition,
                             std::shared_ptr<HttpResponder> responder,
                             std::function<void(const JobState&)> then) {
  if (const JobState* const state = this->FindJob(call, partition)) {
    then(*state);
    return;
  }
  this->AfterRefresh(
      partition, responder,
      [this, &partition, call, responder, then = std::move(then)] {
        if (const JobState* const state = this->FindJob(call, partition)) {
          then(*state);
        } else {
          responder->Send(this->NoSuchJob(call));
        }
      });
}

void JobCallHandler::ReadResults(
    const JobCall& call,
    JobPartition& partition,
    const std::shared_ptr<HttpResponder>& responder) {
  if (const JobState* const state = this->FindJob(call, partition)) {
    if (this->TryRespondToRead(call, partition, *responder)) {
      return;
    }
    const bool past_end = call.position > state->results.size();
    const bool fresh =
        partition.Synced() && partition.LastReadWithin(kMaxStateAge);
    if (!past_end && fresh) {
      this->WaitForResults(call, partition, responder);
      return;
    }
  }
  this->AfterRefresh(partition, responder, [this, call, &partition, responder] {
    if (this->FindJob(call, partition) == nullptr) {
      responder->Send(this->NoSuchJob(call));
    } else if (!this->TryRespondToRead(call, partition, *responder)) {
      this->WaitForResults(call, partition, responder);
    }
  });
}

// Responds and returns true if there is a result at the position.
bool JobCallHandler::TryRespondToRead(const JobCall& call,
                                      const JobPartition& partition,
                                      HttpResponder& responder) {
  const JobState* const state = this->FindJob(call, partition);
  if (state == nullptr || call.position >= state->results.size()) {
    return false;
  }
  const std::size_t end = EndOfPage(state->results, call.position);
  ResultPage page;
  page.total = state->job.samples.size();
  page.next_position = end;
  page.results =
      std::span(state->results).subspan(call.position, end - call.position);
  responder.Send(TextResponse(kOk, "application/json",
                              this->environment.dialect.EncodeResults(page)));
  return true;
}

void JobCallHandler::WaitForResults(const JobCall& call,
                                    JobPartition& partition,
                                    std::shared_ptr<HttpResponder> responder) {
  auto read = std::make_shared<WaitingRead>();
  read->call = call;
  read->partition = &partition;
  read->responder = std::move(responder);
  const JobState* const state = this->FindJob(call, partition);
  if (call.wait.count() <= 0 || state == nullptr || state->ended ||
      state->Complete()) {
    this->RespondToRead(read);
    return;
  }
  const std::weak_ptr<WaitingRead> weak = read;
  read->responder->OnClosed([this, kept = this->alive, weak] {
    const auto closed_read = weak.lock();
    if (*kept && closed_read) {
      this->waiting_reads.erase(closed_read);
    }
  });
  read->timer = this->environment.loop.CallAfter(call.wait, [this, weak] {
    if (const auto expired_read = weak.lock()) {
      this->EndWait(expired_read);
    }
  });
  this->waiting_reads.insert(std::move(read));
}

void JobCallHandler::RespondToRead(const std::shared_ptr<WaitingRead>& read) {
  this->waiting_reads.erase(read);
  const JobState* const state = this->FindJob(read->call, *read->partition);
  if (state == nullptr) {
    read->responder->Send(LogUnavailable());
    return;
  }
  if (this->TryRespondToRead(read->call, *read->partition, *read->responder)) {
    return;
  }
  ResultPage page;
  page.total = state->job.samples.size();
  page.next_position = read->call.position;
  read->responder->Send(TextResponse(
      kOk, "application/json", this->environment.dialect.EncodeResults(page)));
}

// The log may have become unreachable, or slow, during the wait, while other
// instances return further results.
void JobCallHandler::EndWait(const std::shared_ptr<WaitingRead>& read) {
  read->timer.reset();
  this->waiting_reads.erase(read);
  this->AfterRefresh(*read->partition, read->responder,
                     [this, read] { this->RespondToRead(read); });
}

bool JobCallHandler::HasWaitingReads(const JobPartition& partition) const {
  return std::any_of(
      this->waiting_reads.begin(), this->waiting_reads.end(),
      [&](const auto& read) { return read->partition == &partition; });
}

void JobCallHandler::OnPartitionChanged(std::int64_t partition) {
  std::vector<std::shared_ptr<WaitingRead>> ready;
  for (const auto& read : this->waiting_reads) {
    const JobState* const state =
        read->partition->Fold().Find(read->call.job_id);
    if (read->partition->Number() == partition && state != nullptr &&
        (read->call.position < state->results.size() || state->ended)) {
      ready.push_back(read);
    }
  }
  for (const auto& read : ready) {
    this->RespondToRead(read);
  }
}

void JobCallHandler::RespondToWaitingReads() {
  const std::vector<std::shared_ptr<WaitingRead>> all(
      this->waiting_reads.begin(), this->waiting_reads.end());
  for (const auto& read : all) {
    this->EndWait(read);
  }
}

void JobCallHandler::ReadBody(const JobCall& call,
                              JobPartition& partition,
                              std::shared_ptr<HttpResponder> responder) {
  this->WithJob(
      call, partition, responder,
      [responder, sample_id = call.sample_id](const JobState& state) {
        const std::optional<std::size_t> index = state.IndexOf(sample_id);
        const std::optional<std::string> body =
            index && !state.has_result[*index]
                ? DecodeBase64(state.job.samples[*index].body_base64)
                : std::nullopt;
        if (!body) {
          responder->Send(
              ClientErrorResponse(kNotFound, "no_such_body",
                                  "the job has no such sample without a result",
                                  "read the sample's result instead"));
          return;
        }
        responder->Send(TextResponse(kOk, "application/octet-stream", *body));
      });
}

void JobCallHandler::EndJob(const JobCall& call,
                            JobPartition& partition,
                            std::shared_ptr<HttpResponder> responder) {
  this->WithJob(
      call, partition, responder,
      [responder, &partition](const JobState& state) {
        if (state.ended) {
          responder->Send({kOk, {}, ""});
          return;
        }
        JobWrite write;
        write.records.push_back(EncodeEnd(state.job.id));
        write.timeout = kLogTimeout;
        write.is_redundant = [id = state.job.id](const JobFold& fold) {
          const JobState* const current = fold.Find(id);
          return current == nullptr || current->ended;
        };
        write.done = [responder](WriteOutcome outcome) {
          switch (outcome) {
            case WriteOutcome::kDone:
              responder->Send({kOk, {}, ""});
              return;
            case WriteOutcome::kNotWritten:
              responder->Send(LogUnavailable());
              return;
            case WriteOutcome::kUnknown:
              responder->Send(OutcomeUnknown());
              return;
          }
        };
        partition.Write(std::move(write));
      });
}

}  // namespace carobbank
