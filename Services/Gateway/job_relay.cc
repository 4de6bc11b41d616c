// Finds the owner of a job, forwards requests to it, and responds when there is
// no owner.

#include "job_relay.h"

#include <set>
#include <utility>

#include "LibProcess/process.h"
#include "backend_call.h"
#include "job_access.h"
#include "refusals.h"

namespace carobbank {

namespace {

// Header with the partition in a forwarded request.
constexpr std::string_view kPartitionHeader = "Carobbank-Partition";
// The receiver responds if any partition that it follows contains the job.
constexpr std::string_view kAnyPartition = "any";

constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kGatewayTimeout = 504;

// Another instance replaces a lost owner after the owner's time to live.
// Callers that need to wait longer retry.
constexpr Milliseconds kLookupTimeout{1'500};
constexpr Milliseconds kSubmissionTimeout{2'500};
constexpr Milliseconds kRetryDelay{100};
constexpr Milliseconds kRetryAfter{300};
// An owner responds to a waiting read after one second at the latest, and to a
// change after its own timeout for the log.
constexpr Milliseconds kResponseTimeout{3'000};
constexpr Milliseconds kConnectTimeout{300};
// A page of results has about 1 MB.
constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;
// Longer than the replacement of a lost owner takes: an owner that still has
// its partitions is running, and only this instance can't reach it.
constexpr Milliseconds kUnreachableTime{3'000};
// More than the number of jobs open at a time. The owner of an evicted job is
// searched again.
constexpr std::size_t kMaxCachedOwners = 4'096;

HttpResponse Misdirected() {
  return ClientErrorResponse(
      kMisdirected, "not_the_owner",
      "this instance does not follow the job's partition",
      "read the partition's owner from the log and "
      "send the request there");
}

HttpResponse NoOwner() {
  return NotRunResponse("no_owner",
                        "no reachable instance owns the job's partition",
                        kRetryAfter);
}

bool IsMisdirected(const Outcome<HttpResponse>& outcome) {
  return outcome.Ok() && outcome.Value().status == kMisdirected;
}

// Whether nothing of the request was sent.
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
                      std::shared_ptr<HttpResponder> responder,
                      Caller caller) {
  std::optional<BatchJob> job =
      this->ReadSubmission(request, caller, *responder);
  if (job) {
    this->Start(std::move(request), std::move(*job), std::move(caller),
                std::move(responder), kSubmissionTimeout);
  }
}

void JobRelay::Handle(HttpRequest request,
                      JobCall decoded,
                      std::shared_ptr<HttpResponder> responder) {
  Caller caller = decoded.caller;
  this->Start(std::move(request), std::move(decoded), std::move(caller),
              std::move(responder), kLookupTimeout);
}

std::optional<BatchJob> JobRelay::ReadSubmission(
    HttpRequest& request,
    const Caller& caller,
    HttpResponder& responder) const {
  Outcome<BatchJob> job = this->environment.dialect.DecodeSubmission(request);
  if (!job.Ok()) {
    responder.Send(ClientErrorResponse(kBadRequest, "invalid_job",
                                       job.GetError().message,
                                       job.GetError().remedy));
    return std::nullopt;
  }
  const PlatformDialect& dialect = this->environment.dialect;
  if (AssignToCaller(job.Value(), caller, dialect.HeaderNames()) > 0) {
    request.body = dialect.WithoutSampleIdentities(request.body);
  }
  return std::move(job.Value());
}

void JobRelay::Start(HttpRequest request,
                     JobRequest decoded,
                     Caller caller,
                     std::shared_ptr<HttpResponder> responder,
                     Milliseconds timeout) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->decoded = std::move(decoded);
  call->caller = std::move(caller);
  call->responder = std::move(responder);
  call->began = this->environment.clock.Now();
  call->deadline = call->began + timeout;
  this->Attempt(call);
}

void JobRelay::Attempt(const CallPointer& call) {
  if (const BatchJob* const job = call->Submitted()) {
    this->AttemptSubmission(call, this->partitions.ForJob(*job));
  } else {
    this->AttemptLookup(call);
  }
}

void JobRelay::AttemptSubmission(const CallPointer& call,
                                 JobPartition& partition) {
  const std::string_view owner =
      this->owners.OtherOwnerAddress(partition.Number());
  // A submission can wait until the partition has been read.
  if (partition.Synced() || (partition.Following() && owner.empty())) {
    this->HandleLocally(call, partition);
    return;
  }
  if (owner.empty()) {
    this->AttemptLater(call);
    return;
  }
  this->Send(call, owner, std::to_string(partition.Number()),
             [this, call](const Outcome<HttpResponse>& outcome) {
               if (IsMisdirected(outcome) || NotReached(outcome)) {
                 this->AttemptLater(call);
               } else if (outcome.Ok()) {
                 this->ForwardResponse(call, outcome.Value());
               } else {
                 call->responder->Send(MayHaveRunResponse(
                     kGatewayTimeout, "outcome_unknown",
                     "the instance that owns the job's partition "
                     "did not respond"));
               }
             });
}

void JobRelay::AttemptLookup(const CallPointer& call) {
  JobPartition* const partition = this->partitions.FindByJob(call->JobId());
  if (partition != nullptr && partition->Synced()) {
    this->HandleLocally(call, *partition);
    return;
  }
  const auto cached = this->owner_by_job.find(call->JobId());
  if (cached == this->owner_by_job.end() || cached->second.empty()) {
    this->Search(call);
    return;
  }
  this->Send(call, cached->second, std::string(kAnyPartition),
             [this, call](const Outcome<HttpResponse>& outcome) {
               if (outcome.Ok() && !IsMisdirected(outcome)) {
                 this->ForwardResponse(call, outcome.Value());
                 return;
               }
               this->CacheOwner(call->JobId(), "");
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
  call->unconfirmed.clear();
  // One more than there are queries, so that no response ends the round before
  // all queries were sent.
  call->pending_queries = addresses.size() + 1;
  for (const std::string& address : addresses) {
    this->Send(call, address, std::string(kAnyPartition),
               [this, call, address](const Outcome<HttpResponse>& outcome) {
                 const bool answered = outcome.Ok() && !IsMisdirected(outcome);
                 if (answered && !std::exchange(call->answered, true)) {
                   this->CacheOwner(call->JobId(), address);
                   this->ForwardResponse(call, outcome.Value());
                 }
                 this->EndSearchQuery(call);
               });
  }
  this->EndSearchQuery(call);
}

void JobRelay::EndSearchQuery(const CallPointer& call) {
  if (--call->pending_queries == 0 && !call->answered) {
    this->ConfirmAbsence(call);
  }
}

void JobRelay::ConfirmAbsence(const CallPointer& call) {
  call->pending_queries = this->partitions.All().size() + 1;
  for (const auto& partition : this->partitions.All()) {
    const std::int64_t number = partition->Number();
    if (partition->Following()) {
      partition->Refresh([this, kept = this->alive, call, number](bool fresh) {
        if (!*kept) {
          return;
        }
        if (!fresh) {
          call->unconfirmed.insert(number);
        }
        this->EndConfirmQuery(call);
      });
      continue;
    }
    const std::string_view owner = this->owners.OtherOwnerAddress(number);
    if (owner.empty()) {
      call->unconfirmed.insert(number);
      this->EndConfirmQuery(call);
      continue;
    }
    this->Send(call, owner, std::to_string(number),
               [this, call, number](const Outcome<HttpResponse>& outcome) {
                 const bool has_none =
                     outcome.Ok() &&
                     MeansNoSuchJob(outcome.Value().status, call->caller);
                 const bool answered =
                     outcome.Ok() && !has_none && !IsMisdirected(outcome);
                 if (answered && !std::exchange(call->answered, true)) {
                   this->ForwardResponse(call, outcome.Value());
                 }
                 if (!has_none) {
                   call->unconfirmed.insert(number);
                 }
                 this->EndConfirmQuery(call);
               });
  }
  this->EndConfirmQuery(call);
}

void JobRelay::EndConfirmQuery(const CallPointer& call) {
  if (--call->pending_queries > 0 || call->answered) {
    return;
  }
  JobPartition* const partition = this->partitions.FindByJob(call->JobId());
  if (partition != nullptr && partition->Synced()) {
    this->HandleLocally(call, *partition);
  } else if (!call->unconfirmed.empty()) {
    this->AttemptLater(call);
  } else {
    call->responder->Send(NoSuchJobResponse(
        call->caller, this->environment.dialect.HeaderNames()));
  }
}

bool JobRelay::IsRelayed(const HttpRequest& request) {
  return FindHeader(request.headers, kPartitionHeader).has_value();
}

void JobRelay::HandleRelayed(HttpRequest request,
                             std::shared_ptr<HttpResponder> responder) {
  const auto caller_text = FindHeader(request.headers, kCallerHeader);
  const std::optional<Caller> caller =
      caller_text ? DecodeCaller(*caller_text) : Caller();
  if (!caller) {
    responder->Send(Misdirected());
    return;
  }
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
  // A submission can wait until the partition has been read.
  const bool can_respond =
      partition != nullptr &&
      (partition->Synced() || (partition->Following() && !call));
  if (!can_respond) {
    responder->Send(Misdirected());
    return;
  }
  if (call) {
    call->caller = *caller;
    this->local(*partition, std::move(*call), std::move(responder));
  } else if (auto job = this->ReadSubmission(request, *caller, *responder)) {
    this->local(*partition, std::move(*job), std::move(responder));
  }
}

void JobRelay::Send(const CallPointer& call,
                    std::string_view address,
                    std::string partition,
                    ResponseCallback on_response) {
  HttpClientRequest sent;
  sent.method = call->request.method;
  sent.url = "http://" + std::string(address) + call->request.target;
  sent.headers = EndToEndHeaders(call->request.headers,
                                 this->environment.dialect.HeaderNames());
  SetHeader(sent.headers, kPartitionHeader, std::move(partition));
  SetCaller(sent.headers, call->caller);
  sent.body = call->request.body;
  sent.timeout = kResponseTimeout;
  sent.connect_timeout = kConnectTimeout;
  sent.max_body_bytes = kMaxResponseBytes;
  this->environment.client.Fetch(
      std::move(sent), [this, kept = this->alive, owner = std::string(address),
                        on_response = std::move(on_response)](
                           const Outcome<HttpResponse>& outcome) {
        if (*kept) {
          this->RecordReachability(owner, !NotReached(outcome));
          on_response(outcome);
        }
      });
}

void JobRelay::ForwardResponse(const CallPointer& call,
                               const HttpResponse& response) {
  HttpResponse forwarded = response;
  forwarded.headers = EndToEndHeaders(forwarded.headers,
                                      this->environment.dialect.HeaderNames());
  call->responder->Send(std::move(forwarded));
}

void JobRelay::HandleLocally(const CallPointer& call, JobPartition& partition) {
  this->local(partition, std::move(call->decoded), call->responder);
}

void JobRelay::AttemptLater(const CallPointer& call) {
  this->owners.Refresh();
  if (this->environment.clock.Now() + kRetryDelay > call->deadline) {
    this->RespondNoOwner(call);
    return;
  }
  call->retry = this->environment.loop.CallAfter(
      kRetryDelay, [this, kept = this->alive, call] {
        call->retry.reset();
        if (*kept) {
          this->Attempt(call);
        }
      });
}

void JobRelay::RespondNoOwner(const CallPointer& call) const {
  std::string partitions_without_owner;
  for (const std::int64_t number : call->unconfirmed) {
    partitions_without_owner +=
        (partitions_without_owner.empty() ? "" : ",") + std::to_string(number);
  }
  const BatchJob* const job = call->Submitted();
  if (job != nullptr) {
    partitions_without_owner =
        std::to_string(this->partitions.ForJob(*job).Number());
  }
  const auto waited = std::chrono::duration_cast<Milliseconds>(
      this->environment.clock.Now() - call->began);
  WriteLog(LogLevel::kWarning,
           "batch job call refused: no gateway is in step with its partition",
           {{"job", job != nullptr ? job->id : call->JobId()},
            {"call", job != nullptr ? "submit" : "lookup"},
            {"partitions", partitions_without_owner},
            {"waited_ms", std::to_string(waited.count())}});
  call->responder->Send(NoOwner());
}

void JobRelay::RecordReachability(const std::string& address, bool reached) {
  const std::vector<std::int64_t> owned = this->owners.PartitionsOf(address);
  if (reached || owned.empty()) {
    this->unreachable_since.erase(address);
    return;
  }
  const MonotonicTime now = this->environment.clock.Now();
  const MonotonicTime since =
      this->unreachable_since.try_emplace(address, now).first->second;
  if (now - since < kUnreachableTime) {
    return;
  }
  for (const std::int64_t number : owned) {
    if (JobPartition* const partition = this->partitions.Find(number)) {
      WriteLog(LogLevel::kWarning,
               "owner of a job partition is unreachable; following the "
               "partition temporarily",
               {{"partition", std::to_string(number)}, {"owner", address}});
      this->partitions.FollowTemporarily(*partition);
    }
  }
}

void JobRelay::CacheOwner(const std::string& job_id, std::string address) {
  if (!this->owner_by_job.insert_or_assign(job_id, std::move(address)).second) {
    return;
  }
  this->cached_job_ids.push_back(job_id);
  if (this->cached_job_ids.size() > kMaxCachedOwners) {
    this->owner_by_job.erase(this->cached_job_ids.front());
    this->cached_job_ids.pop_front();
  }
}

}  // namespace carobbank
