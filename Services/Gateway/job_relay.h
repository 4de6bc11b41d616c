// Passes callers' calls about batch jobs on to the instance that owns the job's
// partition, so that each partition is read by few instances. A submission goes
// to the partition of its model; any other call names the job only, and the
// owners are asked who holds it. A partition whose owner can't be reached for
// long is read by this instance itself.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_environment.h"
#include "job_partitions.h"
#include "owner_directory.h"

namespace carobbank {

class JobRelay {
 public:
  // Answers from this instance's own knowledge of the partition.
  using LocalHandler =
      std::function<void(JobPartition& partition,
                         JobRequest asked,
                         std::shared_ptr<HttpResponder> responder)>;

  JobRelay(GatewayEnvironment& environment,
           JobPartitions& partitions,
           OwnerDirectory& owners,
           LocalHandler local);
  ~JobRelay();
  JobRelay(const JobRelay&) = delete;
  JobRelay& operator=(const JobRelay&) = delete;

  // A caller's submission of a job.
  void Submit(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  // A caller's call about a job that was submitted. It may be sent repeatedly.
  void Handle(HttpRequest request,
              JobCall asked,
              std::shared_ptr<HttpResponder> responder);

  // Whether another instance has passed this request on.
  static bool IsRelayed(const HttpRequest& request);
  // Answers it, or says that it belongs elsewhere; never passes it on again.
  void HandleRelayed(const HttpRequest& request,
                     std::shared_ptr<HttpResponder> responder);

 private:
  struct Call {
    HttpRequest request;
    // The same, decoded.
    JobRequest asked;
    std::shared_ptr<HttpResponder> responder;
    MonotonicTime deadline{};
    std::unique_ptr<Timer> retry;
    // Questions of the round under way, and whether one of them brought the
    // answer or failed to say that it has none.
    std::size_t open = 0;
    bool answered = false;
    bool unsure = false;

    // Null for calls about a job, which may lie anywhere.
    const BatchJob* Submitted() const {
      return std::get_if<BatchJob>(&this->asked);
    }
    // Of a call about a job.
    const std::string& JobId() const {
      return std::get<JobCall>(this->asked).job_id;
    }
  };
  using CallPointer = std::shared_ptr<Call>;
  using Answered = std::function<void(const Outcome<HttpResponse>&)>;

  void Start(HttpRequest request,
             JobRequest asked,
             std::shared_ptr<HttpResponder> responder,
             Milliseconds patience);
  // Nothing, and the caller is told, when it can't be read.
  std::optional<BatchJob> ReadSubmission(const HttpRequest& request,
                                         HttpResponder& responder) const;
  void Attempt(const CallPointer& call);
  void AttemptSubmission(const CallPointer& call, JobPartition& partition);
  void AttemptQuestion(const CallPointer& call);
  // Asks every owner for what it knows; the one that holds the job answers.
  void Search(const CallPointer& call);
  // Asks every owner to look into the log before it says that there is no such
  // job.
  void Confirm(const CallPointer& call);
  // One question of a search, or of a confirmation, has ended.
  void EndSearchQuestion(const CallPointer& call);
  void EndQuestion(const CallPointer& call, bool unsure);
  // `partition`: its number, or kAnyPartition.
  void Send(const CallPointer& call,
            std::string_view address,
            std::string partition,
            Answered answered);
  void PassOn(const CallPointer& call, const HttpResponse& response);
  void AnswerHere(const CallPointer& call, JobPartition& partition);
  // After a moment, with owners read anew, or refuses when the call's time is
  // over.
  void AttemptLater(const CallPointer& call);
  void NoteOwner(const std::string& address, bool reached);
  void RememberHolder(const std::string& job_id, std::string address);

  GatewayEnvironment& environment;
  JobPartitions& partitions;
  OwnerDirectory& owners;
  LocalHandler local;
  // Who answered for a job last, by job id; empty when that one no longer does.
  // Invariant: `holder_order` holds the same ids by age, at most kMostHolders.
  std::map<std::string, std::string, std::less<>> holders;
  std::deque<std::string> holder_order;
  // Addresses that no call has reached since. Invariant: owners' only, as the
  // directory named them then.
  std::map<std::string, MonotonicTime, std::less<>> unreached_since;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
