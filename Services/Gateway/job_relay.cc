// Finding the owner of a job, attempts at it, and what is answered when there
// is none.

#include "job_relay.h"

#include <set>
#include <utility>

#include "LibProcess/process.h"
#include "backend_call.h"
#include "refusals.h"

namespace carobbank {

namespace {

// Names the partition in a request that was passed on.
constexpr std::string_view kPartitionHeader = "Carobbank-Partition";
// The receiver answers if it holds the job, in whichever partition.
constexpr std::string_view kAnyPartition = "any";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kGatewayTimeout = 504;

// An owner that is lost is replaced after its time to live; callers that need
// longer come back.
constexpr Milliseconds kQuestionPatience{1'500};
constexpr Milliseconds kSubmissionPatience{2'500};
constexpr Milliseconds kRetryPause{100};
constexpr Milliseconds kRetryAfter{300};
// An owner answers a waiting read after a second, and a change after the time
// that it gives the log.
constexpr Milliseconds kAnswerTimeout{3'000};
constexpr Milliseconds kConnectTimeout{300};
// Longer than it takes to replace an owner that is lost: one that nobody
// replaced lives, and only this instance doesn't reach it.
constexpr Milliseconds kUnreachedTime{3'000};
// More jobs than are open at a time; what is forgotten is searched again.
constexpr std::size_t kMostHolders = 4'096;

HttpResponse Misdirected() {
  return ClientErrorResponse(kMisdirected, "not_the_owner",
                             "this instance does not hold the job's partition",
                             "ask the log for its owner");
}

HttpResponse NoOwner() {
  return NotRunResponse(
      "no_owner", "no instance answers for the job's partition", kRetryAfter);
}

bool IsElsewhere(const Outcome<HttpResponse>& outcome) {
  return outcome.Ok() && outcome.Value().status == kMisdirected;
}

// Nothing of the request was sent.
bool NotReached(const Outcome<HttpResponse>& outcome) {
  return !outcome.Ok() && outcome.GetError().kind == ErrorKind::kUnavailable;
}

}  // namespace

JobRelay::JobRelay(GatewayEnvironment& environment,
                   JobPartitions& partitions,
                   OwnerDirectory& owners,
                   LocalHandler local)
    : environment(environment),
      partitions(partitions),
      owners(owners),
      local(std::move(local)) {}

JobRelay::~JobRelay() {
  *this->alive = false;
}

void JobRelay::Submit(HttpRequest request,
                      std::shared_ptr<HttpResponder> responder) {
  std::optional<BatchJob> job = this->ReadSubmission(request, *responder);
  if (job) {
    this->Start(std::move(request), std::move(*job), std::move(responder),
                kSubmissionPatience);
  }
}

void JobRelay::Handle(HttpRequest request,
                      JobCall asked,
                      std::shared_ptr<HttpResponder> responder) {
  this->Start(std::move(request), std::move(asked), std::move(responder),
              kQuestionPatience);
}

std::optional<BatchJob> JobRelay::ReadSubmission(
    const HttpRequest& request,
    HttpResponder& responder) const {
  Outcome<BatchJob> job = this->environment.dialect.DecodeSubmission(request);
  if (!job.Ok()) {
    responder.Send(ClientErrorResponse(kBadRequest, "invalid_job",
                                       job.GetError().message,
                                       job.GetError().remedy));
    return std::nullopt;
  }
  return std::move(job.Value());
}

void JobRelay::Start(HttpRequest request,
                     JobRequest asked,
                     std::shared_ptr<HttpResponder> responder,
                     Milliseconds patience) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->asked = std::move(asked);
  call->responder = std::move(responder);
  call->deadline = this->environment.clock.Now() + patience;
  this->Attempt(call);
}

void JobRelay::Attempt(const CallPointer& call) {
  if (const BatchJob* const job = call->Submitted()) {
    this->AttemptSubmission(call, this->partitions.ForJob(*job));
  } else {
    this->AttemptQuestion(call);
  }
}

void JobRelay::AttemptSubmission(const CallPointer& call,
                                 JobPartition& partition) {
  const std::string_view owner =
      this->owners.OtherOwnerAddress(partition.Number());
  // A submission waits until the partition was read.
  if (partition.Synced() || (partition.Following() && owner.empty())) {
    this->AnswerHere(call, partition);
    return;
  }
  if (owner.empty()) {
    this->AttemptLater(call);
    return;
  }
  this->Send(call, owner, std::to_string(partition.Number()),
             [this, call](const Outcome<HttpResponse>& outcome) {
               if (IsElsewhere(outcome) || NotReached(outcome)) {
                 this->AttemptLater(call);
               } else if (outcome.Ok()) {
                 this->PassOn(call, outcome.Value());
               } else {
                 call->responder->Send(
                     MayHaveRunResponse(kGatewayTimeout, "outcome_unknown",
                                        "the job's owner did not answer"));
               }
             });
}

void JobRelay::AttemptQuestion(const CallPointer& call) {
  JobPartition* const partition = this->partitions.FindByJob(call->JobId());
  if (partition != nullptr && partition->Synced()) {
    this->AnswerHere(call, *partition);
    return;
  }
  const auto known = this->holders.find(call->JobId());
  if (known == this->holders.end() || known->second.empty()) {
    this->Search(call);
    return;
  }
  this->Send(call, known->second, std::string(kAnyPartition),
             [this, call](const Outcome<HttpResponse>& outcome) {
               if (outcome.Ok() && !IsElsewhere(outcome)) {
                 this->PassOn(call, outcome.Value());
                 return;
               }
               this->RememberHolder(call->JobId(), "");
               this->Search(call);
             });
}

void JobRelay::Search(const CallPointer& call) {
  std::set<std::string> addresses;
  for (const auto& partition : this->partitions.All()) {
    const std::string_view owner =
        this->owners.OtherOwnerAddress(partition->Number());
    if (!owner.empty() && !partition->Synced()) {
      addresses.emplace(owner);
    }
  }
  call->answered = false;
  call->unsure = false;
  // One more than there are questions, so that none of them ends the round
  // before all were asked.
  call->open = addresses.size() + 1;
  for (const std::string& address : addresses) {
    this->Send(call, address, std::string(kAnyPartition),
               [this, call, address](const Outcome<HttpResponse>& outcome) {
                 const bool answered = outcome.Ok() && !IsElsewhere(outcome);
                 if (answered && !std::exchange(call->answered, true)) {
                   this->RememberHolder(call->JobId(), address);
                   this->PassOn(call, outcome.Value());
                 }
                 this->EndSearchQuestion(call);
               });
  }
  this->EndSearchQuestion(call);
}

void JobRelay::EndSearchQuestion(const CallPointer& call) {
  if (--call->open == 0 && !call->answered) {
    this->Confirm(call);
  }
}

void JobRelay::Confirm(const CallPointer& call) {
  call->open = this->partitions.All().size() + 1;
  for (const auto& partition : this->partitions.All()) {
    if (partition->Following()) {
      partition->Refresh([this, kept = this->alive, call](bool fresh) {
        if (*kept) {
          this->EndQuestion(call, !fresh);
        }
      });
      continue;
    }
    const std::string_view owner =
        this->owners.OtherOwnerAddress(partition->Number());
    if (owner.empty()) {
      this->EndQuestion(call, true);
      continue;
    }
    this->Send(call, owner, std::to_string(partition->Number()),
               [this, call](const Outcome<HttpResponse>& outcome) {
                 const bool has_none =
                     outcome.Ok() && outcome.Value().status == kNotFound;
                 const bool answered =
                     outcome.Ok() && !has_none && !IsElsewhere(outcome);
                 if (answered && !std::exchange(call->answered, true)) {
                   this->PassOn(call, outcome.Value());
                 }
                 this->EndQuestion(call, !has_none);
               });
  }
  this->EndQuestion(call, false);
}

void JobRelay::EndQuestion(const CallPointer& call, bool unsure) {
  call->unsure = call->unsure || unsure;
  if (--call->open > 0 || call->answered) {
    return;
  }
  JobPartition* const partition = this->partitions.FindByJob(call->JobId());
  if (partition != nullptr && partition->Synced()) {
    this->AnswerHere(call, *partition);
  } else if (call->unsure) {
    this->AttemptLater(call);
  } else {
    call->responder->Send(ClientErrorResponse(
        kNotFound, "no_such_job", "no batch job has this id",
        "check the id, or submit the job"));
  }
}

bool JobRelay::IsRelayed(const HttpRequest& request) {
  return FindHeader(request.headers, kPartitionHeader).has_value();
}

void JobRelay::HandleRelayed(const HttpRequest& request,
                             std::shared_ptr<HttpResponder> responder) {
  std::optional<JobCall> call =
      this->environment.dialect.RecognizeJobCall(request);
  const std::string_view wanted =
      FindHeader(request.headers, kPartitionHeader).value_or("");
  const auto number = ParseInteger<std::int64_t>(wanted);
  JobPartition* partition = nullptr;
  if (wanted == kAnyPartition && call) {
    partition = this->partitions.FindByJob(call->job_id);
  } else if (number) {
    partition = this->partitions.Find(*number);
  }
  // A submission may wait until the partition was read.
  const bool can_answer =
      partition != nullptr &&
      (partition->Synced() || (partition->Following() && !call));
  if (!can_answer) {
    responder->Send(Misdirected());
    return;
  }
  if (call) {
    this->local(*partition, std::move(*call), std::move(responder));
  } else if (auto job = this->ReadSubmission(request, *responder)) {
    this->local(*partition, std::move(*job), std::move(responder));
  }
}

void JobRelay::Send(const CallPointer& call,
                    std::string_view address,
                    std::string partition,
                    Answered answered) {
  HttpClientRequest sent;
  sent.method = call->request.method;
  sent.url = "http://" + std::string(address) + call->request.target;
  sent.headers = EndToEndHeaders(call->request.headers,
                                 this->environment.dialect.HeaderNames());
  SetHeader(sent.headers, kPartitionHeader, std::move(partition));
  sent.body = call->request.body;
  sent.timeout = kAnswerTimeout;
  sent.connect_timeout = kConnectTimeout;
  this->environment.client.Fetch(
      std::move(sent),
      [this, kept = this->alive, owner = std::string(address),
       answered = std::move(answered)](const Outcome<HttpResponse>& outcome) {
        if (*kept) {
          this->NoteOwner(owner, !NotReached(outcome));
          answered(outcome);
        }
      });
}

void JobRelay::PassOn(const CallPointer& call, const HttpResponse& response) {
  HttpResponse answer = response;
  answer.headers =
      EndToEndHeaders(answer.headers, this->environment.dialect.HeaderNames());
  call->responder->Send(std::move(answer));
}

void JobRelay::AnswerHere(const CallPointer& call, JobPartition& partition) {
  this->local(partition, std::move(call->asked), call->responder);
}

void JobRelay::AttemptLater(const CallPointer& call) {
  this->owners.Refresh();
  if (this->environment.clock.Now() + kRetryPause > call->deadline) {
    call->responder->Send(NoOwner());
    return;
  }
  call->retry = this->environment.loop.CallAfter(
      kRetryPause, [this, kept = this->alive, call] {
        call->retry.reset();
        if (*kept) {
          this->Attempt(call);
        }
      });
}

void JobRelay::NoteOwner(const std::string& address, bool reached) {
  const std::vector<std::int64_t> owned = this->owners.PartitionsOf(address);
  if (reached || owned.empty()) {
    this->unreached_since.erase(address);
    return;
  }
  const MonotonicTime now = this->environment.clock.Now();
  const MonotonicTime since =
      this->unreached_since.try_emplace(address, now).first->second;
  if (now - since < kUnreachedTime) {
    return;
  }
  for (const std::int64_t number : owned) {
    if (JobPartition* const partition = this->partitions.Find(number)) {
      WriteLog(LogLevel::kWarning, "owner of a job partition not reached",
               {{"partition", std::to_string(number)}, {"owner", address}});
      this->partitions.FollowTemporarily(*partition);
    }
  }
}

void JobRelay::RememberHolder(const std::string& job_id, std::string address) {
  if (!this->holders.insert_or_assign(job_id, std::move(address)).second) {
    return;
  }
  this->holder_order.push_back(job_id);
  if (this->holder_order.size() > kMostHolders) {
    this->holders.erase(this->holder_order.front());
    this->holder_order.pop_front();
  }
}

}  // namespace carobbank
