// Reward calls for complete outputs.

#include "job_runner.h"

#include <utility>

#include "LibProcess/process.h"
#include "request_quarantine.h"
#include "send_permits.h"
#include "server_limits.h"

namespace carobbank {

namespace {

// Reward calls leave slots free for plain requests to the same service.
constexpr double kMaxRewardCallsPerSlot = 0.7;
constexpr int kFirstFailureStatus = 300;

const std::string& ServiceOf(const HostRoute& route, const RewardCall& reward) {
  return ChooseService(route, FastHash(reward.id));
}

}  // namespace

void JobRunner::StartScores(ActiveJob& job, const JobState& state) {
  if (job.waiting_for_score == 0) {
    return;
  }
  this->RequestRewardPermits(job, state);
  const MonotonicTime now = this->environment.clock.Now();
  for (std::size_t position = job.first_unfinished;
       position < job.start_order.size(); ++position) {
    const std::size_t index = job.start_order[position];
    const Progress& progress = job.samples[index];
    if (progress.stage != Stage::kWaitingForScore ||
        progress.not_before > now) {
      continue;
    }
    if (!this->StartScore(job, state, index)) {
      return;
    }
  }
}

void JobRunner::RequestRewardPermits(const ActiveJob& job,
                                     const JobState& state) {
  if (this->environment.limits.Empty()) {
    return;
  }
  const MonotonicTime now = this->environment.clock.Now();
  std::map<std::string_view, std::size_t> waiting;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const Progress& progress = job.samples[index];
    if (progress.stage != Stage::kWaitingForScore ||
        progress.not_before > now) {
      continue;
    }
    const RewardCall& reward = *state.job.samples[index].reward;
    const HostRoute* const route =
        this->environment.configuration->routes.Find(reward.host, reward.path);
    if (route != nullptr) {
      ++waiting[ServiceOf(*route, reward)];
    }
  }
  for (const auto& [service, count] : waiting) {
    this->RequestPermits(this->environment.fleet.Eligible(service),
                         kMaxRewardCallsPerSlot, count);
  }
}

bool JobRunner::StartScore(ActiveJob& job,
                           const JobState& state,
                           std::size_t index) {
  const RewardCall& reward = *state.job.samples[index].reward;
  Progress& progress = job.samples[index];
  const HostRoute* const route =
      this->environment.configuration->routes.Find(reward.host, reward.path);
  if (route == nullptr) {
    this->FinishWithoutRoute(job, state, index);
    return true;
  }
  const std::optional<std::string> body = DecodeBase64(reward.body_base64);
  if (!body) {
    --job.waiting_for_score;
    this->Finish(job, state, index, false, "");
    return true;
  }
  if (progress.reward_digest.empty()) {
    progress.reward_digest = DigestOfOwedWork(reward.host + reward.path, *body);
  }
  if (this->FailedTooOften(state, index,
                           SampleFailureKind::kRewardServerError)) {
    --job.waiting_for_score;
    this->Finish(job, state, index, false, "");
    return true;
  }
  if (this->FailedTooOften(state, index, SampleFailureKind::kRewardRejected)) {
    progress.not_before = MonotonicTime::max();
    return true;
  }
  if (this->MustNotStart(job, progress, progress.reward_digest)) {
    return true;
  }
  const std::vector<const FleetServer*> servers =
      this->environment.fleet.Eligible(ServiceOf(*route, reward));
  const FleetServer* const server =
      this->ChooseServer(servers, progress.excluded.Ids(), "",
                         kMaxRewardCallsPerSlot, progress.reward_digest);
  if (server == nullptr) {
    return progress.excluded.Clear();
  }
  this->environment.permits.UseOwed(*server);
  BackendRequest request;
  request.method = kMethod;
  request.target = reward.path;
  request.headers = {
      {"Host", reward.host},
      {std::string(this->environment.dialect.HeaderNames().request_id),
       reward.id}};
  request.body = *body;
  request.request_id = reward.id;
  request.workspace = state.job.workspace;
  request.digest = progress.reward_digest;
  request.owed = true;
  request.time_left = this->TimeLeftOf(state);
  request.attempt_timeout = route->timeout;
  --job.waiting_for_score;
  progress.stage = Stage::kScoring;
  progress.reward =
      BackendCall::Start(this->environment, *server, request,
                         [this, &job, index](BackendCallResult result) {
                           this->OnRewardResult(job, index, std::move(result));
                         });
  return true;
}

void JobRunner::OnRewardResult(ActiveJob& job,
                               std::size_t index,
                               BackendCallResult result) {
  Progress& progress = job.samples[index];
  const std::string server_id = progress.reward->ServerId();
  this->ended_calls.push_back(std::move(progress.reward));
  this->ScheduleDispatch();
  const JobState* const state = job.State();
  if (state == nullptr) {
    return;
  }
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const bool answered = result.outcome == BackendCallOutcome::kAnswered;
  if (answered && result.response.status < kFirstFailureStatus) {
    const auto signature = FindHeader(result.response.headers, names.signature);
    this->Finish(job, *state, index, true, std::string(signature.value_or("")));
    return;
  }
  const RewardCall& reward = *state->job.samples[index].reward;
  const std::optional<SampleFailureKind> failure = FailureOf(result);
  const bool server_error = failure == SampleFailureKind::kRewardServerError;
  const bool rejected = failure == SampleFailureKind::kRewardRejected;
  if (failure) {
    this->RecordFailure(*state, index, *failure);
  }
  if (answered) {
    WriteLog(
        LogLevel::kInfo, "reward call was not accepted",
        {{"job", job.id},
         {"sample", state->job.samples[index].id},
         {"request", reward.id},
         {"digest", progress.reward_digest},
         {"server", server_id},
         {"status", std::to_string(result.response.status)},
         {"failures",
          std::to_string(this->environment.quarantine.Failures().CountInJob(
              MakeSampleKey(state->job, state->job.samples[index]),
              SampleFailureKind::kRewardServerError))},
         {"job_age_ms", std::to_string(this->AgeOf(*state).count())}});
  }
  if (server_error &&
      this->FailedTooOften(*state, index,
                           SampleFailureKind::kRewardServerError)) {
    this->Finish(job, *state, index, false, "");
    return;
  }
  progress.stage = Stage::kWaitingForScore;
  ++job.waiting_for_score;
  progress.not_before = rejected
                            ? this->NextRewardCall(*state, index)
                            : this->environment.clock.Now() + kRefusalBackoff;
  progress.excluded.Add(server_id);
}

MonotonicTime JobRunner::NextRewardCall(const JobState& state,
                                        std::size_t index) const {
  if (this->FailedTooOften(state, index, SampleFailureKind::kRewardRejected)) {
    return MonotonicTime::max();
  }
  const std::int64_t rejections =
      this->environment.quarantine.Failures().CountInJob(
          MakeSampleKey(state.job, state.job.samples[index]),
          SampleFailureKind::kRewardRejected);
  return this->environment.clock.Now() + RejectionBackoff(rejections);
}

}  // namespace carobbank
