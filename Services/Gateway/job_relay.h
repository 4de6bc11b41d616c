// Forwards callers' requests about batch jobs to the instance that owns the
// job's partition, so that few instances read each partition. A submission goes
// to the partition of its model. Any other request contains only the job id, so
// the relay queries all owners for the job. If an owner stays unreachable, this
// instance follows the owner's partitions temporarily.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "gateway_environment.h"
#include "job_partitions.h"
#include "owner_directory.h"

namespace carobbank {

class JobRelay {
 public:
  // Responds from this instance's own fold of the partition.
  using LocalHandler =
      std::function<void(JobPartition& partition,
                         JobRequest decoded,
                         std::shared_ptr<HttpResponder> responder)>;

  JobRelay(GatewayEnvironment& environment,
           JobPartitions& partitions,
           OwnerDirectory& owners,
           LocalHandler local);
  ~JobRelay();
  JobRelay(const JobRelay&) = delete;
  JobRelay& operator=(const JobRelay&) = delete;

  // A caller's submission of a job. The request of a caller who is not
  // unrestricted must no longer contain the key.
  void Submit(HttpRequest request,
              std::shared_ptr<HttpResponder> responder,
              Caller caller = {});
  // A caller's request about a submitted job; `decoded` contains the caller.
  // The relay may send the request several times.
  void Handle(HttpRequest request,
              JobCall decoded,
              std::shared_ptr<HttpResponder> responder);

  // Whether another instance has forwarded this request.
  static bool IsRelayed(const HttpRequest& request);
  // Responds to the request, or reports that this instance does not own the
  // partition. Never forwards the request again.
  void HandleRelayed(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder);

 private:
  struct Call {
    HttpRequest request;
    // The decoded `request`.
    JobRequest decoded;
    Caller caller;
    std::shared_ptr<HttpResponder> responder;
    MonotonicTime deadline{};
    std::unique_ptr<Timer> retry;
    MonotonicTime began{};
    // Open queries of the current round (search or confirmation), whether one
    // of them has returned the response to the caller, and the partitions for
    // which no gateway could confirm that they lack the job.
    std::size_t pending_queries = 0;
    bool answered = false;
    std::set<std::int64_t> unconfirmed;

    // Null for requests about a submitted job, whose partition is not known.
    const BatchJob* Submitted() const {
      return std::get_if<BatchJob>(&this->decoded);
    }
    // Only for requests about a submitted job.
    const std::string& JobId() const {
      return std::get<JobCall>(this->decoded).job_id;
    }
  };
  using CallPointer = std::shared_ptr<Call>;
  using ResponseCallback = std::function<void(const Outcome<HttpResponse>&)>;

  void Start(HttpRequest request,
             JobRequest decoded,
             Caller caller,
             std::shared_ptr<HttpResponder> responder,
             Milliseconds timeout);
  // Nothing if the submission is malformed; the caller then has an error
  // response. The job is of the caller's workspace. The request's body is
  // replaced if it contains a key.
  std::optional<BatchJob> ReadSubmission(HttpRequest& request,
                                         const Caller& caller,
                                         HttpResponder& responder) const;
  void Attempt(const CallPointer& call);
  void AttemptSubmission(const CallPointer& call, JobPartition& partition);
  void AttemptLookup(const CallPointer& call);
  // Queries every owner; the one whose fold contains the job responds.
  void Search(const CallPointer& call);
  // Makes every owner read its partition up to its end, before the response is
  // that there is no such job.
  void ConfirmAbsence(const CallPointer& call);
  // Called when one query of a search, or of a confirmation, has ended.
  void EndSearchQuery(const CallPointer& call);
  void EndConfirmQuery(const CallPointer& call);
  // Responds that no gateway is in step with the job's partition.
  void RespondNoOwner(const CallPointer& call) const;
  // `partition`: the partition's number, or kAnyPartition.
  void Send(const CallPointer& call,
            std::string_view address,
            std::string partition,
            ResponseCallback on_response);
  void ForwardResponse(const CallPointer& call, const HttpResponse& response);
  void HandleLocally(const CallPointer& call, JobPartition& partition);
  // Refreshes the owners and retries after kRetryDelay, or responds `no_owner`
  // when the request's deadline has passed.
  void AttemptLater(const CallPointer& call);
  void RecordReachability(const std::string& address, bool reached);
  void CacheOwner(const std::string& job_id, std::string address);

  GatewayEnvironment& environment;
  JobPartitions& partitions;
  OwnerDirectory& owners;
  LocalHandler local;
  // By job id: the address of the owner that last responded for the job, or
  // empty if that owner no longer does. Invariant: `cached_job_ids` has the
  // same ids, oldest first, at most kMaxCachedOwners.
  std::map<std::string, std::string, std::less<>> owner_by_job;
  std::deque<std::string> cached_job_ids;
  // By address: the time of the first of the failed connection attempts since
  // the last successful one. Invariant: each address was an owner's in the
  // directory when it was inserted.
  std::map<std::string, MonotonicTime, std::less<>> unreachable_since;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
