// Finding the owner of a job, attempts at it, and what is answered when there
// is none.

#include "job_relay.h"

#include <algorithm>
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
  return Reject(kMisdirected, "not_the_owner",
                "this instance does not hold the job's partition",
                "ask the log for its owner");
}

HttpResponse NoOwner() {
  return RefuseNotRun("no_owner", "no instance answers for the job's partition",
                      kRetryAfter);
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
                      JobPartition& partition,
                      std::shared_ptr<HttpResponder> responder) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->responder = std::move(responder);
  call->partition = &partition;
  this->Start(call, kSubmissionPatience);
}

void JobRelay::Ask(HttpRequest request,
                   std::string job_id,
                   std::shared_ptr<HttpResponder> responder) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->responder = std::move(responder);
  call->job_id = std::move(job_id);
  this->Start(call, kQuestionPatience);
}

void JobRelay::Start(const CallPointer& call, Milliseconds patience) {
  call->deadline = this->environment.clock.Now() + patience;
  this->Attempt(call);
}

void JobRelay::Attempt(const CallPointer& call) {
  if (call->partition != nullptr) {
    this->AttemptSubmission(call);
  } else {
    this->AttemptQuestion(call);
  }
}

void JobRelay::AttemptSubmission(const CallPointer& call) {
  JobPartition& partition = *call->partition;
  const std::string address(this->owners.AddressOf(partition.Number()));
  const bool own = address == this->environment.settings.peer_listen;
  // A submission waits until the partition was read.
  if (partition.Synced() ||
      (partition.Following() && (own || address.empty()))) {
    this->AnswerHere(call, partition);
    return;
  }
  if (own || address.empty()) {
    this->AttemptLater(call);
    return;
  }
  this->Send(
      call, address, std::to_string(partition.Number()),
      [this, call](const Outcome<HttpResponse>& outcome) {
        if (IsElsewhere(outcome) || NotReached(outcome)) {
          this->AttemptLater(call);
        } else if (outcome.Ok()) {
          this->PassOn(call, outcome.Value());
        } else {
          call->responder->Send(FailUnknown(kGatewayTimeout, "outcome_unknown",
                                            "the job's owner did not answer"));
        }
      });
}

void JobRelay::AttemptQuestion(const CallPointer& call) {
  JobPartition* const partition = this->partitions.Holding(call->job_id);
  if (partition != nullptr && partition->Synced()) {
    this->AnswerHere(call, *partition);
    return;
  }
  const auto known = this->holders.find(call->job_id);
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
               this->RememberHolder(call->job_id, "");
               this->Search(call);
             });
}

void JobRelay::Search(const CallPointer& call) {
  std::set<std::string> addresses;
  for (const auto& partition : this->partitions.All()) {
    const std::string_view address =
        this->owners.AddressOf(partition->Number());
    if (!address.empty() && !partition->Synced()) {
      addresses.emplace(address);
    }
  }
  addresses.erase(this->environment.settings.peer_listen);
  call->answered = false;
  call->unsure = false;
  // One more than there are questions, so that none of them ends the round
  // before all were asked.
  call->open = addresses.size() + 1;
  for (const std::string& address : addresses) {
    this->Send(call, address, std::string(kAnyPartition),
               [this, call, address](const Outcome<HttpResponse>& outcome) {
                 const bool answered = outcome.Ok() && !IsElsewhere(outcome);
                 if (answered && !call->answered) {
                   call->answered = true;
                   this->RememberHolder(call->job_id, address);
                   this->PassOn(call, outcome.Value());
                 }
                 if (--call->open == 0) {
                   this->EndSearch(call);
                 }
               });
  }
  if (--call->open == 0) {
    this->EndSearch(call);
  }
}

void JobRelay::EndSearch(const CallPointer& call) {
  if (!call->answered) {
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
    const std::string address(this->owners.AddressOf(partition->Number()));
    if (address.empty() || address == this->environment.settings.peer_listen) {
      this->EndQuestion(call, true);
      continue;
    }
    this->Send(call, address, std::to_string(partition->Number()),
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
  JobPartition* const partition = this->partitions.Holding(call->job_id);
  if (partition != nullptr && partition->Synced()) {
    this->AnswerHere(call, *partition);
  } else if (call->unsure) {
    this->AttemptLater(call);
  } else {
    call->responder->Send(Reject(kNotFound, "no_such_job",
                                 "no batch job has this id",
                                 "check the id, or submit the job"));
  }
}

bool JobRelay::IsRelayed(const HttpRequest& request) {
  return FindHeader(request.headers, kPartitionHeader).has_value();
}

void JobRelay::HandleRelayed(const HttpRequest& request,
                             std::string_view job_id,
                             std::shared_ptr<HttpResponder> responder) {
  const std::string_view wanted =
      FindHeader(request.headers, kPartitionHeader).value_or("");
  const auto number = ParseInteger<std::int64_t>(wanted);
  JobPartition* partition = nullptr;
  if (wanted == kAnyPartition) {
    partition = this->partitions.Holding(job_id);
  } else if (number) {
    partition = this->partitions.Find(*number);
  }
  // A submission may wait until the partition was read.
  const bool can_answer =
      partition != nullptr &&
      (partition->Synced() || (partition->Following() && job_id.empty()));
  if (!can_answer) {
    responder->Send(Misdirected());
    return;
  }
  this->local(*partition, request, std::move(responder));
}

void JobRelay::Send(const CallPointer& call,
                    std::string_view address,
                    std::string partition,
                    Answered answered) {
  HttpClientRequest sent;
  sent.method = call->request.method;
  sent.url = "http://" + std::string(address) + call->request.target;
  sent.headers = EndToEndHeaders(call->request.headers,
                                 this->environment.dialect.Headers());
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
      EndToEndHeaders(answer.headers, this->environment.dialect.Headers());
  call->responder->Send(std::move(answer));
}

void JobRelay::AnswerHere(const CallPointer& call, JobPartition& partition) {
  this->local(partition, call->request, call->responder);
}

void JobRelay::AttemptLater(const CallPointer& call) {
  this->owners.Refresh();
  if (this->environment.clock.Now() + kRetryPause > call->deadline) {
    call->responder->Send(NoOwner());
    return;
  }
  call->retry = this->environment.loop.CallAfter(
      kRetryPause, [this, kept = this->alive, call] {
        const std::unique_ptr<Timer> done = std::move(call->retry);
        if (*kept) {
          this->Attempt(call);
        }
      });
}

void JobRelay::NoteOwner(const std::string& address, bool reached) {
  const auto& all = this->partitions.All();
  const bool owns_one =
      std::any_of(all.begin(), all.end(), [&](const auto& partition) {
        return this->owners.AddressOf(partition->Number()) == address;
      });
  if (reached || !owns_one) {
    this->unreached_since.erase(address);
    return;
  }
  const MonotonicTime now = this->environment.clock.Now();
  const MonotonicTime since =
      this->unreached_since.try_emplace(address, now).first->second;
  if (now - since < kUnreachedTime) {
    return;
  }
  for (const auto& partition : all) {
    if (this->owners.AddressOf(partition->Number()) == address) {
      WriteLog(LogLevel::kWarning, "owner of a job partition not reached",
               {{"partition", std::to_string(partition->Number())},
                {"owner", address}});
      this->partitions.Hold(*partition);
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
