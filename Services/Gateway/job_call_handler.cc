// Submissions, long polls of results, bodies and ends.

#include "job_call_handler.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "refusals.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kGatewayTimeout = 504;

// A caller that waits for the log longer than this had better ask another
// instance, which may reach it.
constexpr Milliseconds kLogPatience{2'500};
constexpr Milliseconds kRetryAfter{500};
// Knowledge of a partition that is older is refreshed before it is used to say
// that there is nothing more.
constexpr Milliseconds kFreshness{300};
// Bound of the results in one answer; one longer result is sent alone.
constexpr std::size_t kMostPageBytes = 900'000;

HttpResponse TextResponse(int status, std::string_view type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", std::string(type)});
  response.body = std::move(body);
  return response;
}

HttpResponse LogUnavailable() {
  return NotRunResponse("log_unavailable",
                        "the log of batch jobs can't be reached", kRetryAfter);
}

HttpResponse OutcomeUnknown() {
  return MayHaveRunResponse(kGatewayTimeout, "outcome_unknown",
                            "the log did not confirm the change in time");
}

HttpResponse NoSuchJob() {
  return ClientErrorResponse(kNotFound, "no_such_job",
                             "no batch job has this id",
                             "check the id, or submit the job");
}

// A job's submission while its records are on the way to the log.
struct Submission {
  std::string job_id;
  MonotonicTime began;
  // Records that have not ended.
  std::size_t open = 0;
  bool answered = false;
};

// The answer to the caller, once the end of a record's write settles it:
// whichever record ends last or fails first does.
std::optional<HttpResponse> TakeWriteEnd(Submission& submission,
                                         WriteOutcome end) {
  --submission.open;
  const bool done = end == WriteOutcome::kDone;
  if (submission.answered || (done && submission.open > 0)) {
    return std::nullopt;
  }
  submission.answered = true;
  if (done) {
    return HttpResponse{kAccepted, {}, ""};
  }
  return end == WriteOutcome::kNotWritten ? LogUnavailable() : OutcomeUnknown();
}

void LogSubmission(const Submission& submission,
                   int status,
                   MonotonicTime now) {
  const auto took =
      std::chrono::duration_cast<Milliseconds>(now - submission.began);
  WriteLog(status == kAccepted ? LogLevel::kInfo : LogLevel::kWarning,
           "job submitted",
           {{"job", submission.job_id},
            {"status", std::to_string(status)},
            {"took_ms", std::to_string(took.count())}});
}

std::size_t LastOfPage(const std::vector<JobResult>& results,
                       std::size_t first) {
  // Quotes, names and other members of one result.
  constexpr std::size_t kFramingBytes = 200;
  std::size_t bytes = 0;
  std::size_t last = first;
  while (last < results.size()) {
    bytes += results[last].output.size() + kFramingBytes;
    if (last > first && bytes > kMostPageBytes) {
      break;
    }
    ++last;
  }
  return last;
}

}  // namespace

JobCallHandler::JobCallHandler(GatewayEnvironment& environment)
    : environment(environment) {}

JobCallHandler::~JobCallHandler() {
  *this->alive = false;
}

void JobCallHandler::WithFreshKnowledge(
    JobPartition& partition,
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
  if (partition.Fold().Find(job.id) != nullptr) {
    responder->Send({kAccepted, {}, ""});
    return;
  }
  this->WriteJob(partition, job, std::min(kLogPatience, route.timeout),
                 std::move(responder));
}

void JobCallHandler::WriteJob(JobPartition& partition,
                              const BatchJob& job,
                              Milliseconds patience,
                              std::shared_ptr<HttpResponder> responder) {
  const auto& settings = this->environment.settings;
  const std::vector<KeyedRecord> records =
      EncodeJob(job, static_cast<std::size_t>(settings.log_record_bytes));
  auto submission = std::make_shared<Submission>();
  submission->open = records.size();
  submission->job_id = job.id;
  submission->began = this->environment.clock.Now();
  for (const KeyedRecord& record : records) {
    JobWrite write;
    write.records.push_back(record);
    write.timeout = patience;
    write.is_redundant = [id = job.id](const JobFold& fold) {
      return fold.Find(id) != nullptr;
    };
    write.done = [this, submission, responder](WriteOutcome end) {
      if (std::optional<HttpResponse> answer = TakeWriteEnd(*submission, end)) {
        LogSubmission(*submission, answer->status,
                      this->environment.clock.Now());
        responder->Send(std::move(*answer));
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
  if (const JobState* const state = partition.Fold().Find(call.job_id)) {
    then(*state);
    return;
  }
  this->WithFreshKnowledge(
      partition, responder,
      [&partition, id = call.job_id, responder, then = std::move(then)] {
        if (const JobState* const state = partition.Fold().Find(id)) {
          then(*state);
        } else {
          responder->Send(NoSuchJob());
        }
      });
}

void JobCallHandler::ReadResults(
    const JobCall& call,
    JobPartition& partition,
    const std::shared_ptr<HttpResponder>& responder) {
  if (const JobState* const state = partition.Fold().Find(call.job_id)) {
    if (this->TryAnswerRead(call, partition, *responder)) {
      return;
    }
    const bool beyond = call.position > state->results.size();
    const bool fresh =
        partition.Synced() && partition.LastReadWithin(kFreshness);
    if (!beyond && fresh) {
      this->WaitForResults(call, partition, responder);
      return;
    }
  }
  this->WithFreshKnowledge(
      partition, responder, [this, call, &partition, responder] {
        if (partition.Fold().Find(call.job_id) == nullptr) {
          responder->Send(NoSuchJob());
        } else if (!this->TryAnswerRead(call, partition, *responder)) {
          this->WaitForResults(call, partition, responder);
        }
      });
}

// Answers when there is a result at the position, or never will be.
bool JobCallHandler::TryAnswerRead(const JobCall& call,
                                   const JobPartition& partition,
                                   HttpResponder& responder) {
  const JobState* const state = partition.Fold().Find(call.job_id);
  if (state == nullptr || call.position >= state->results.size()) {
    return false;
  }
  const std::size_t last = LastOfPage(state->results, call.position);
  ResultPage page;
  page.total = state->job.samples.size();
  page.next_position = last;
  page.results =
      std::span(state->results).subspan(call.position, last - call.position);
  responder.Send(TextResponse(kOk, "application/json",
                              this->environment.dialect.EncodeResults(page)));
  return true;
}

void JobCallHandler::WaitForResults(const JobCall& call,
                                    JobPartition& partition,
                                    std::shared_ptr<HttpResponder> responder) {
  auto read = std::make_shared<Read>();
  read->call = call;
  read->partition = &partition;
  read->responder = std::move(responder);
  const JobState* const state = partition.Fold().Find(call.job_id);
  if (call.wait.count() <= 0 || state == nullptr || state->ended ||
      state->Complete()) {
    this->AnswerRead(read);
    return;
  }
  const std::weak_ptr<Read> weak = read;
  read->responder->OnClosed([this, kept = this->alive, weak] {
    const auto left = weak.lock();
    if (*kept && left) {
      this->reads.erase(left);
    }
  });
  read->timer = this->environment.loop.CallAfter(call.wait, [this, weak] {
    if (const auto due = weak.lock()) {
      this->AnswerRead(due);
    }
  });
  this->reads.insert(std::move(read));
}

void JobCallHandler::AnswerRead(const std::shared_ptr<Read>& read) {
  this->reads.erase(read);
  const JobState* const state = read->partition->Fold().Find(read->call.job_id);
  if (state == nullptr) {
    read->responder->Send(LogUnavailable());
    return;
  }
  if (this->TryAnswerRead(read->call, *read->partition, *read->responder)) {
    return;
  }
  ResultPage page;
  page.total = state->job.samples.size();
  page.next_position = read->call.position;
  read->responder->Send(TextResponse(
      kOk, "application/json", this->environment.dialect.EncodeResults(page)));
}

bool JobCallHandler::HasWaitingReads(const JobPartition& partition) const {
  return std::any_of(
      this->reads.begin(), this->reads.end(),
      [&](const auto& read) { return read->partition == &partition; });
}

void JobCallHandler::OnPartitionChanged(std::int64_t partition) {
  std::vector<std::shared_ptr<Read>> ready;
  for (const auto& read : this->reads) {
    const JobState* const state =
        read->partition->Fold().Find(read->call.job_id);
    if (read->partition->Number() == partition && state != nullptr &&
        (read->call.position < state->results.size() || state->ended)) {
      ready.push_back(read);
    }
  }
  for (const auto& read : ready) {
    this->AnswerRead(read);
  }
}

void JobCallHandler::AnswerWaitingReads() {
  const std::vector<std::shared_ptr<Read>> all(this->reads.begin(),
                                               this->reads.end());
  for (const auto& read : all) {
    this->AnswerRead(read);
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
        write.timeout = kLogPatience;
        write.is_redundant = [id = state.job.id](const JobFold& fold) {
          const JobState* const known = fold.Find(id);
          return known == nullptr || known->ended;
        };
        write.done = [responder](WriteOutcome end) {
          switch (end) {
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
