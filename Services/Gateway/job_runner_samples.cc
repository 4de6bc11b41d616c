// Places samples on engines, reads their streams, and moves samples between
// engines.

#include "job_runner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "request_quarantine.h"
#include "send_permits.h"
#include "server_limits.h"

#include "LibProcess/process.h"
#include "LibRouting/owed_work.h"

namespace carobbank {

namespace {

// Timeout between events. A stream that has begun sends an event every few tens
// of milliseconds; a change of weights may delay an event by about a second.
constexpr Milliseconds kEventTimeout{2'500};
// Bound of this owner's requests at a server, relative to the server's slots.
// Requests beyond the slots wait in the server's queue and are lost if the
// server fails.
constexpr double kMaxSamplesPerSlot = 1.0;
// Bound of the samples of one job that are moved at once, so that they don't
// all go to the same server.
constexpr std::size_t kMovesPerTick = 6;

// Servers write their entries about once a second.
constexpr Milliseconds kConfirmationTimeout{4'000};

constexpr std::size_t kMaxOutputBytes = 8 * 1024 * 1024;

// Each event has a token at least, but for a few at the ends of an output.
std::size_t MaxEvents(const JobSample& sample) {
  constexpr std::size_t kEventsWithoutToken = 64;
  return sample.tokens <= 0
             ? std::numeric_limits<std::size_t>::max()
             : static_cast<std::size_t>(sample.tokens) + kEventsWithoutToken;
}

// Removes servers that are the only one of their software version: an output
// that they begin can't go on if they leave. Keeps all if no other is left.
void RemoveLastOfSoftware(std::vector<const FleetServer*>& servers) {
  std::map<std::string_view, int> counts;
  for (const FleetServer* const server : servers) {
    ++counts[server->software_version];
  }
  const bool others =
      std::any_of(counts.begin(), counts.end(),
                  [](const auto& entry) { return entry.second > 1; });
  if (others) {
    std::erase_if(servers, [&counts](const FleetServer* server) {
      return counts[server->software_version] == 1;
    });
  }
}

// Samples of a group share their prompt, so they go to the same service.
const std::string& ServiceOf(const HostRoute& route, const JobSample& sample) {
  return ChooseService(
      route, FastHash(sample.group.empty() ? sample.id : sample.group));
}

}  // namespace

void JobRunner::StartSamples(ActiveJob& job, const JobState& state) {
  this->RequestSamplePermits(job, state);
  const MonotonicTime now = this->environment.clock.Now();
  bool all_previous_finished = true;
  // Services without free capacity.
  std::set<std::string, std::less<>> full;
  for (std::size_t position = job.first_unfinished;
       position < job.start_order.size(); ++position) {
    const std::size_t index = job.start_order[position];
    const Progress& progress = job.samples[index];
    all_previous_finished =
        all_previous_finished && progress.stage == Stage::kFinished;
    if (all_previous_finished) {
      job.first_unfinished = position + 1;
    }
    if (progress.stage != Stage::kWaiting || progress.not_before > now) {
      continue;
    }
    if (!full.empty() && full.contains(this->ServiceOfSample(state, index))) {
      continue;
    }
    if (!this->StartSample(job, state, index)) {
      full.insert(this->ServiceOfSample(state, index));
      if (full.size() >= this->ServicesOf(state)) {
        return;
      }
    }
  }
}

std::size_t JobRunner::ServicesOf(const JobState& state) const {
  const HostRoute* const route = this->RouteOf(state);
  return route == nullptr ? 1 : route->services.size();
}

const std::string& JobRunner::ServiceOfSample(const JobState& state,
                                              std::size_t index) const {
  static const std::string none;
  const JobSample& sample = state.job.samples[index];
  const HostRoute* const route =
      this->environment.configuration->routes.Find(state.job.host, sample.path);
  return route == nullptr ? none : ServiceOf(*route, sample);
}

// Servers of the service whose weight version the job allows.
std::vector<const FleetServer*> JobRunner::UsableEngines(
    const JobState& state,
    const std::string& service) const {
  std::vector<const FleetServer*> servers =
      this->environment.fleet.Eligible(service);
  if (!state.job.model.empty()) {
    std::erase_if(servers, [&state](const FleetServer* server) {
      return server->VersionOf(state.job.model) < state.job.min_version;
    });
  }
  return servers;
}

void JobRunner::RemoveLoading(const JobState& state,
                              std::vector<const FleetServer*>& servers) const {
  const MonotonicTime now = this->environment.clock.BootNow();
  std::erase_if(servers, [&state, now](const FleetServer* server) {
    return server->IsLoading(state.job.model, now);
  });
}

const FleetServer* JobRunner::ChooseEngine(ActiveJob& job,
                                           const JobState& state,
                                           std::size_t index,
                                           const std::string& service) {
  std::vector<const FleetServer*> servers = this->UsableEngines(state, service);
  const JobSample& sample = state.job.samples[index];
  Progress& progress = job.samples[index];
  const bool is_long = sample.expected_output_tokens > job.long_tokens;
  if (progress.events > 0) {
    this->KeepSoftwareVersion(sample.id, progress, servers);
  } else if (is_long) {
    RemoveLastOfSoftware(servers);
  }
  this->RemoveLoading(state, servers);
  const SampleChoice choice = this->ChoiceOf(job, state, index, service);
  if (progress.events > 0 && !this->placement.ByExpectedEnd(service)) {
    // The sample would only be moved away from a slow server again.
    if (const FleetServer* const server = this->ChooseServer(
            this->FastEnoughServers(progress.events, servers),
            progress.excluded.Ids(), "", kMaxSamplesPerSlot, progress.digest)) {
      return server;
    }
  }
  const std::string preferred =
      sample.group.empty() ? "" : job.group_servers[sample.group];
  // A long sample may be unfinished when its step ends. Its partial output is
  // usable for the next step if the newer version generated all of it.
  if (is_long && progress.events == 0) {
    std::vector<const FleetServer*> newest = servers;
    std::erase_if(newest, [&state](const FleetServer* server) {
      return server->VersionOf(state.job.model) <= state.job.min_version;
    });
    if (const FleetServer* const server =
            this->ChooseServer(newest, progress.excluded.Ids(), preferred,
                               kMaxSamplesPerSlot, progress.digest, choice)) {
      return server;
    }
  }
  return this->ChooseServer(servers, progress.excluded.Ids(), preferred,
                            kMaxSamplesPerSlot, progress.digest, choice);
}

const FleetServer* JobRunner::ChooseServer(
    std::span<const FleetServer* const> servers,
    std::span<const std::string> excluded,
    std::string_view preferred_id,
    double max_in_flight_per_slot,
    std::string_view digest,
    const SampleChoice& choice) const {
  BackendQuery query;
  query.excluded = excluded;
  query.data_center = this->environment.settings.data_center;
  // After a crash a sample doesn't follow its group, so that repeats are
  // spread.
  if (this->environment.quarantine.OwedCrashesOf(digest) == 0) {
    query.preferred_id = preferred_id;
  }
  query.max_in_flight_per_slot = max_in_flight_per_slot;
  const SendPermits& permits = this->environment.permits;
  std::vector<const FleetServer*> with_permit;
  std::vector<const FleetServer*> without_limit;
  for (const FleetServer* const server : servers) {
    if (!permits.NeedsPermit(*server)) {
      without_limit.push_back(server);
    } else if (permits.MaySendOwed(*server)) {
      with_permit.push_back(server);
    }
  }
  // A permit is lost if it is not used soon.
  for (const auto& candidates : {with_permit, without_limit}) {
    query.servers = candidates;
    if (const FleetServer* const server = choice.strategy->Choose(
            query, choice.work, this->environment.loads,
            this->environment.clock.Now(), this->environment.random)) {
      return server;
    }
  }
  return nullptr;
}

void JobRunner::RequestPermits(std::span<const FleetServer* const> servers,
                               double max_in_flight_per_slot,
                               std::size_t waiting) {
  std::vector<const FleetServer*> held_back(servers.begin(), servers.end());
  std::erase_if(held_back, [&](const FleetServer* server) {
    const double capacity =
        static_cast<double>(server->slots) * max_in_flight_per_slot;
    return !this->environment.permits.NeedsPermit(*server) ||
           static_cast<double>(this->environment.loads.InFlight(server->id)) >=
               capacity;
  });
  if (!held_back.empty()) {
    this->environment.permits.RequestOwed(held_back, waiting);
  }
}

void JobRunner::RequestSamplePermits(const ActiveJob& job,
                                     const JobState& state) {
  if (this->environment.limits.Empty()) {
    return;
  }
  std::map<std::string_view, std::size_t> waiting;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    if (job.samples[index].stage == Stage::kWaiting) {
      ++waiting[this->ServiceOfSample(state, index)];
    }
  }
  for (const auto& [service, count] : waiting) {
    this->RequestPermits(this->UsableEngines(state, std::string(service)),
                         kMaxSamplesPerSlot, count);
  }
}

bool JobRunner::MustNotStart(const ActiveJob& job,
                             Progress& progress,
                             std::string_view digest) const {
  const RequestQuarantine& quarantine = this->environment.quarantine;
  const auto job_age = std::chrono::duration_cast<Milliseconds>(
      this->environment.clock.Now() - job.begun_at);
  // A run of an earlier owner or job may be crashing its server.
  Milliseconds delay =
      std::max({quarantine.OwedDelay(digest), Milliseconds(0),
                OwedWorkDelay(quarantine.OwedCrashesOf(digest)) - job_age});
  if (delay.count() == 0 && quarantine.OwedMustWait(digest)) {
    delay = kRefusalBackoff;
  }
  if (delay.count() == 0) {
    return false;
  }
  progress.not_before = this->environment.clock.Now() + delay;
  return true;
}

bool JobRunner::FailedTooOften(const JobState& state,
                               std::size_t index,
                               SampleFailureKind kind) const {
  const bool of_reward = kind == SampleFailureKind::kRewardServerError ||
                         kind == SampleFailureKind::kRewardRejected;
  const JobSample& sample = state.job.samples[index];
  const HostRoute* const route =
      of_reward ? this->environment.configuration->routes.Find(
                      sample.reward->host, sample.reward->path)
                : this->RouteOf(state);
  if (route == nullptr) {
    return false;
  }
  const std::int64_t limit =
      kind == SampleFailureKind::kUnprocessable ? 1 : route->max_attempts;
  return this->environment.quarantine.Failures().Exhausted(
      MakeSampleKey(state.job, sample), kind, limit);
}

void JobRunner::RecordFailure(const JobState& state,
                              std::size_t index,
                              SampleFailureKind kind) {
  this->environment.quarantine.RecordFailure(
      MakeSampleKey(state.job, state.job.samples[index]), kind);
}

bool JobRunner::StartSample(ActiveJob& job,
                            const JobState& state,
                            std::size_t index) {
  const JobSample& sample = state.job.samples[index];
  const HostRoute* const route =
      this->environment.configuration->routes.Find(state.job.host, sample.path);
  if (route == nullptr) {
    this->FinishWithoutRoute(job, state, index);
    return true;
  }
  Progress& progress = job.samples[index];
  if (!this->ResolveConfirmation(sample.id, progress)) {
    return true;
  }
  const std::optional<std::string> body = DecodeBase64(sample.body_base64);
  if (!body) {
    this->Finish(job, state, index, false, "");
    return true;
  }
  if (progress.digest.empty()) {
    progress.digest = DigestOfOwedWork(state.job.host + sample.path, *body);
  }
  if (this->FailedTooOften(state, index, SampleFailureKind::kServerError) ||
      this->FailedTooOften(state, index, SampleFailureKind::kUnprocessable)) {
    this->Finish(job, state, index, false, "");
    return true;
  }
  if (this->MustNotStart(job, progress, progress.digest)) {
    return true;
  }
  const FleetServer* const server =
      this->ChooseEngine(job, state, index, ServiceOf(*route, sample));
  if (server == nullptr && progress.events > 0) {
    // Servers of other software versions may have capacity for other samples.
    progress.excluded.Clear();
    progress.not_before = this->environment.clock.Now() + kRefusalBackoff;
    return true;
  }
  if (server == nullptr) {
    return progress.excluded.Clear();
  }
  this->environment.permits.UseOwed(*server);
  BackendRequest request;
  request.method = kMethod;
  request.target = sample.path;
  for (const SampleHeader& header : sample.headers) {
    request.headers.push_back({header.name, header.value});
  }
  request.headers =
      EndToEndHeaders(request.headers, this->environment.dialect.HeaderNames());
  if (this->environment.configuration->workspaces) {
    RemoveIdentity(request.headers, this->environment.dialect.HeaderNames());
  }
  SetHeader(request.headers, "Host", state.job.host);
  SetHeader(request.headers, this->environment.dialect.HeaderNames().request_id,
            sample.id);
  request.body = *body;
  request.request_id = sample.id;
  request.workspace = state.job.workspace;
  request.digest = progress.digest;
  request.owed = true;
  request.time_left = this->TimeLeftOf(state);
  if (!sample.group.empty() &&
      this->environment.quarantine.OwedCrashesOf(progress.digest) == 0) {
    job.group_servers[sample.group] = server->id;
  }
  SampleStreamHandlers handlers;
  handlers.on_event = [this, &job, index](std::string_view data,
                                          std::string_view event_id,
                                          std::int64_t version) {
    return this->AppendEvent(job, index, data, event_id, version);
  };
  handlers.on_end = [this, &job, index](SampleStreamOutcome outcome,
                                        std::string_view reason) {
    this->OnStreamEnd(job, index, outcome, reason);
  };
  ++job.starts;
  this->placement.CountPlacement(server->service);
  job.last_start = this->AgeOf(state);
  progress.attempt_counted = false;
  progress.waits_for_software_since.reset();
  // The server can't be told after which event to go on, and starts anew.
  if (progress.last_event_id.empty()) {
    ResetOutput(progress);
  }
  if (progress.events == 0) {
    progress.software_version = server->software_version;
  } else {
    this->ReportResumed(job.id, sample.id, progress, *server);
  }
  progress.stage = Stage::kGenerating;
  progress.stream =
      SampleStream::Start(this->environment, *server, request,
                          progress.last_event_id, std::move(handlers));
  return true;
}

void JobRunner::ReportResumed(std::string_view job_id,
                              std::string_view sample_id,
                              const Progress& progress,
                              const FleetServer& server) const {
  const bool same = progress.software_version == server.software_version;
  this->environment.metrics
      .GetCounter(
          metrics::kResumedOutputs,
          {{"service", server.service}, {"software", same ? "same" : "other"}})
      .Add();
  WriteLog(LogLevel::kInfo, "sample output continues at another server",
           {{"job", std::string(job_id)},
            {"sample", std::string(sample_id)},
            {"server", server.id},
            {"server_started_at", std::to_string(server.started_at)},
            {"events", std::to_string(progress.events)},
            {"software_before", progress.software_version},
            {"software", server.software_version}});
}

EventVerdict JobRunner::AppendEvent(ActiveJob& job,
                                    std::size_t index,
                                    std::string_view data,
                                    std::string_view event_id,
                                    std::int64_t version) {
  const JobState* const state = job.State();
  if (state == nullptr) {
    return EventVerdict::kRejected;
  }
  Progress& progress = job.samples[index];
  if (RepeatsEvent(event_id, progress.last_event_id)) {
    return EventVerdict::kRepeated;
  }
  if (!state->job.model.empty()) {
    this->environment.fleet.ObserveVersion(progress.stream->ServerId(),
                                           state->job.model, version);
    if (version < state->job.min_version) {
      return EventVerdict::kRejected;
    }
    progress.versions.insert(version);
  }
  if (progress.output.size() + data.size() > kMaxOutputBytes ||
      progress.events >= MaxEvents(state->job.samples[index])) {
    this->OnOverrun(*state, index, progress);
    return EventVerdict::kOverrun;
  }
  if (!std::exchange(progress.attempt_counted, true)) {
    ++progress.attempts;
    const SampleStream& stream = *progress.stream;
    progress.uncertain.push_back({stream.ServerId(), stream.ServerStart(),
                                  this->environment.clock.BootNow()});
  }
  if (progress.events > 0) {
    progress.output.push_back('\n');
  }
  progress.output.append(data);
  progress.last_event_id = event_id;
  ++progress.events;
  return EventVerdict::kAccepted;
}

void JobRunner::OnOverrun(const JobState& state,
                          std::size_t index,
                          Progress& progress) {
  this->environment.metrics
      .GetCounter(metrics::kResponseLimits, {{"limit", "output"}})
      .Add();
  WriteLog(LogLevel::kWarning,
           "sample output ended at a limit; it is generated again",
           {{"sample", state.job.samples[index].id},
            {"server", progress.stream->ServerId()},
            {"events", std::to_string(progress.events)}});
  ResetOutput(progress);
}

void JobRunner::ResetOutput(Progress& progress) {
  progress.output.clear();
  progress.events = 0;
  progress.last_event_id.clear();
  progress.versions.clear();
  progress.software_version.clear();
  progress.attempts = 0;
  progress.uncertain.clear();
  progress.attempt_counted = false;
  progress.awaits_confirmation = false;
  progress.waits_for_software_since.reset();
}

void JobRunner::OnOutputComplete(ActiveJob& job,
                                 const JobState& state,
                                 std::size_t index) {
  Progress& progress = job.samples[index];
  this->RecordLength(state, index, progress);
  if (state.job.samples[index].reward) {
    progress.stage = Stage::kWaitingForScore;
    progress.excluded.Clear();
    ++job.waiting_for_score;
    return;
  }
  this->Finish(job, state, index, true, "");
}

void JobRunner::OnStreamEnd(ActiveJob& job,
                            std::size_t index,
                            SampleStreamOutcome outcome,
                            std::string_view reason) {
  Progress& progress = job.samples[index];
  const std::string server_id = progress.stream->ServerId();
  const std::string digest = progress.stream->Digest();
  const WallMilliseconds server_start = progress.stream->ServerStart();
  this->ended_streams.push_back(std::move(progress.stream));
  progress.stage = Stage::kWaiting;
  this->ScheduleDispatch();
  const JobState* const state = job.State();
  if (state == nullptr) {
    return;
  }
  if (outcome != SampleStreamOutcome::kComplete) {
    WriteLog(
        LogLevel::kInfo, "sample attempt ended early",
        {{"job", job.id},
         {"sample", state->job.samples[index].id},
         {"digest", digest},
         {"server", server_id},
         {"server_started_at", std::to_string(server_start)},
         {"events", std::to_string(progress.events)},
         {"failures",
          std::to_string(this->environment.quarantine.Failures().CountInJob(
              MakeSampleKey(state->job, state->job.samples[index]),
              SampleFailureKind::kServerError))},
         {"not_run",
          outcome == SampleStreamOutcome::kNotRun ? "true" : "false"},
         {"reason", std::string(reason)}});
  }
  const MonotonicTime now = this->environment.clock.Now();
  const HostRoute* const route = this->RouteOf(*state);
  progress.rejections =
      outcome == SampleStreamOutcome::kRejected ? progress.rejections + 1 : 0;
  const bool single_version = route != nullptr && route->single_version;
  if (const auto failure = FailureOf(outcome)) {
    this->RecordFailure(*state, index, *failure);
  }
  switch (outcome) {
    case SampleStreamOutcome::kComplete:
      if (single_version && progress.versions.size() > 1) {
        this->ResetOutput(progress);
        return;
      }
      if (progress.attempts > 1 && !this->IsOfOneSoftware(progress)) {
        progress.stage = Stage::kConfirming;
        progress.confirm_until = now + kConfirmationTimeout;
        ++job.confirming;
        this->RequestConfirmations(progress);
        return;
      }
      this->OnOutputComplete(job, *state, index);
      return;
    case SampleStreamOutcome::kUnprocessable:
      this->Finish(job, *state, index, false, "");
      return;
    case SampleStreamOutcome::kFailed:
      if (this->FailedTooOften(*state, index,
                               SampleFailureKind::kServerError)) {
        this->Finish(job, *state, index, false, "");
        return;
      }
      [[fallthrough]];
    case SampleStreamOutcome::kBroken:
      progress.not_before = now + kFailureBackoff;
      break;
    case SampleStreamOutcome::kRejected:
      progress.not_before = now + RejectionBackoff(progress.rejections);
      break;
    case SampleStreamOutcome::kNotRun:
      progress.not_before = now + kRefusalBackoff;
      break;
  }
  if (progress.events > 0 && !this->IsOfOneSoftware(progress)) {
    this->KeepUntilConfirmed(state->job.samples[index].id, progress);
  }
  progress.excluded.Add(server_id);
}

void JobRunner::AbortUnresponsiveStreams(ActiveJob& job) {
  const MonotonicTime now = this->environment.clock.Now();
  for (Progress& progress : job.samples) {
    if (!progress.stream) {
      continue;
    }
    const Milliseconds limit =
        progress.stream->HasBegun() ? kEventTimeout : kFirstEventTimeout;
    if (now - progress.stream->LastActivity() > limit) {
      progress.stream->Abort(SendOutcome::kFailed,
                             "the server sent no data within the timeout");
    }
  }
}

// Moves samples to faster servers where they complete earlier, a few at a time,
// because the step ends with its slowest sample.
void JobRunner::MoveFromSlowServers(ActiveJob& job) {
  const JobState* const state = job.State();
  const HostRoute* const route =
      state == nullptr || !this->environment.configuration
          ? nullptr
          : this->RouteOf(*state);
  if (route == nullptr) {
    return;
  }
  // By service. Processing times of engines don't change during the loop.
  struct Engines {
    std::vector<const FleetServer*> servers;
    double shortest_ms = 0;
  };
  std::map<std::string_view, Engines> engines_of;
  std::size_t moves = 0;
  for (std::size_t index = 0;
       index < job.samples.size() && moves < kMovesPerTick; ++index) {
    Progress& progress = job.samples[index];
    if (progress.stream == nullptr || !progress.stream->HasBegun()) {
      continue;
    }
    const std::string& service = ServiceOf(*route, state->job.samples[index]);
    const auto [entry, is_new] = engines_of.try_emplace(service);
    Engines& engines = entry->second;
    if (is_new) {
      engines.servers = this->UsableEngines(*state, service);
      this->RemoveLoading(*state, engines.servers);
      engines.shortest_ms =
          ShortestProcessingTimeMs(engines.servers, this->environment.loads);
    }
    if (this->placement.ByExpectedEnd(service)) {
      moves += this->MoveStraggler(job, *state, index, engines.servers) ? 1 : 0;
      continue;
    }
    const double own_ms =
        this->environment.loads.ProcessingTimeMs(progress.stream->ServerId());
    // A sample that doesn't complete earlier at the fastest engine does so at
    // none.
    if (!ShouldMigrateStream(progress.events, own_ms, engines.shortest_ms)) {
      continue;
    }
    if (!this->IsOfOneSoftware(progress)) {
      // Its output could not go on at the other server.
      this->RequestConfirmations(progress);
      continue;
    }
    if (this->FasterServerHasCapacity(progress, own_ms, engines.servers)) {
      ++moves;
      progress.stream->Abort(SendOutcome::kCancelled,
                             "a faster server has free capacity");
    }
  }
}

std::vector<const FleetServer*> JobRunner::FastEnoughServers(
    std::size_t events,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  const double median_ms = MedianProcessingTimeMs(servers, loads);
  std::vector<const FleetServer*> fast(servers.begin(), servers.end());
  std::erase_if(fast, [&](const FleetServer* server) {
    return ShouldMigrateStream(events, loads.ProcessingTimeMs(server->id),
                               median_ms);
  });
  return fast;
}

bool JobRunner::FasterServerHasCapacity(
    Progress& progress,
    double own_ms,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  if (!this->IsOfOneSoftware(progress)) {
    return false;
  }
  std::vector<const FleetServer*> faster(servers.begin(), servers.end());
  std::erase_if(faster, [&](const FleetServer* server) {
    return server->software_version != progress.software_version ||
           !ShouldMigrateStream(progress.events, own_ms,
                                loads.ProcessingTimeMs(server->id));
  });
  return this->ChooseServer(faster, progress.excluded.Ids(), "",
                            kMaxSamplesPerSlot, progress.digest) != nullptr;
}

}  // namespace carobbank
