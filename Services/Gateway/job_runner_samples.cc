// Placing samples on engines, following their streams, and moving texts between
// engines.

#include "job_runner.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// A stream that has begun sends an event every few tens of milliseconds; a
// change of weights may hold it up for about a second.
constexpr Milliseconds kLongestPause{2'500};
// Before its first event a sample may wait in the server's queue.
constexpr Milliseconds kLongestQueueing{5'000};
// Requests of this owner that a server may hold, in relation to its slots. What
// exceeds the slots waits in the server's queue and is lost with it.
constexpr double kSampleRoomPerSlot = 1.0;
constexpr Milliseconds kFailedPause{30};
// Texts of one job that are moved at once, so that they don't all meet at the
// same server.
constexpr std::size_t kMovesPerTick = 6;

// Samples of a group share their prompt, so they go to one service.
const std::string& ServiceOf(const HostRoute& route, const JobSample& sample) {
  return ChooseService(
      route, FastHash(sample.group.empty() ? sample.id : sample.group));
}

}  // namespace

void JobRunner::StartSamples(ActiveJob& job, const JobState& state) {
  const MonotonicTime now = this->environment.clock.Now();
  bool all_before_finished = true;
  for (std::size_t place = job.first_open; place < job.order.size(); ++place) {
    const std::size_t index = job.order[place];
    const Progress& progress = job.samples[index];
    all_before_finished =
        all_before_finished && progress.stage == Stage::kFinished;
    if (all_before_finished) {
      job.first_open = place + 1;
    }
    if (progress.stage != Stage::kWaiting || progress.not_before > now) {
      continue;
    }
    if (!this->StartSample(job, state, index)) {
      return;
    }
  }
}

// Servers of the service whose version the job allows.
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

const FleetServer* JobRunner::ChooseEngine(ActiveJob& job,
                                           const JobState& state,
                                           std::size_t index,
                                           const std::string& service) {
  const std::vector<const FleetServer*> servers =
      this->UsableEngines(state, service);
  const JobSample& sample = state.job.samples[index];
  const Progress& progress = job.samples[index];
  if (progress.events > 0) {
    // It would only leave a slow server again.
    if (const FleetServer* const server =
            this->Choose(this->FastEnough(progress.events, servers),
                         progress.excluded.Ids(), "", kSampleRoomPerSlot)) {
      return server;
    }
  }
  const std::string preferred =
      sample.group.empty() ? "" : job.group_servers[sample.group];
  // What is left of a long text when its step ends fits the next step if all of
  // it came from the newer version.
  if (sample.expected_output_tokens > job.long_tokens && progress.events == 0) {
    std::vector<const FleetServer*> newest = servers;
    std::erase_if(newest, [&state](const FleetServer* server) {
      return server->VersionOf(state.job.model) <= state.job.min_version;
    });
    if (const FleetServer* const server = this->Choose(
            newest, progress.excluded.Ids(), preferred, kSampleRoomPerSlot)) {
      return server;
    }
  }
  return this->Choose(servers, progress.excluded.Ids(), preferred,
                      kSampleRoomPerSlot);
}

const FleetServer* JobRunner::Choose(
    std::span<const FleetServer* const> servers,
    std::span<const std::string> excluded,
    std::string_view preferred_id,
    double room_per_slot) const {
  BackendQuery query;
  query.servers = servers;
  query.excluded = excluded;
  query.data_center = this->environment.settings.data_center;
  query.preferred_id = preferred_id;
  query.room_per_slot = room_per_slot;
  return ChooseBackend(query, this->environment.loads,
                       this->environment.clock.Now(), this->environment.random);
}

bool JobRunner::StartSample(ActiveJob& job,
                            const JobState& state,
                            std::size_t index) {
  const JobSample& sample = state.job.samples[index];
  const HostRoute* const route =
      this->environment.configuration->routes.Find(state.job.host, sample.path);
  if (route == nullptr) {
    // The route is gone: nothing can run the sample.
    this->Finish(job, state, index, false, "");
    return true;
  }
  Progress& progress = job.samples[index];
  const FleetServer* const server =
      this->ChooseEngine(job, state, index, ServiceOf(*route, sample));
  if (server == nullptr) {
    return progress.excluded.Clear();
  }
  const std::optional<std::string> body = DecodeBase64(sample.body_base64);
  if (!body) {
    this->Finish(job, state, index, false, "");
    return true;
  }
  BackendRequest request;
  request.method = "POST";
  request.target = sample.path;
  for (const SampleHeader& header : sample.headers) {
    request.headers.push_back({header.name, header.value});
  }
  SetHeader(request.headers, "Host", state.job.host);
  SetHeader(request.headers, this->environment.dialect.HeaderNames().request_id,
            sample.id);
  request.body = *body;
  request.request_id = sample.id;
  request.time_left =
      std::max(state.job.abandon_after - this->AgeOf(state), Milliseconds(1));
  if (!sample.group.empty()) {
    job.group_servers[sample.group] = server->id;
  }
  SampleStreamHandlers handlers;
  handlers.on_event = [this, &job, index](std::string_view data,
                                          std::string_view event_id,
                                          std::int64_t version) {
    return this->TakeEvent(job, index, data, event_id, version);
  };
  handlers.on_end = [this, &job, index](SampleStreamOutcome end,
                                        std::string_view reason) {
    this->StreamEnded(job, index, end, reason);
  };
  ++job.starts;
  job.last_start = this->AgeOf(state);
  progress.stage = Stage::kGenerating;
  progress.stream =
      SampleStream::Start(this->environment, *server, request,
                          progress.last_event_id, std::move(handlers));
  return true;
}

bool JobRunner::TakeEvent(ActiveJob& job,
                          std::size_t index,
                          std::string_view data,
                          std::string_view event_id,
                          std::int64_t version) {
  const JobState* const state = job.State();
  if (state == nullptr) {
    return false;
  }
  Progress& progress = job.samples[index];
  if (!state->job.model.empty()) {
    this->environment.fleet.ObserveVersion(progress.stream->ServerId(),
                                           state->job.model, version);
    if (version < state->job.min_version) {
      return false;
    }
    progress.versions.insert(version);
  }
  if (progress.events > 0) {
    progress.text.push_back('\n');
  }
  progress.text.append(data);
  progress.last_event_id = event_id;
  ++progress.events;
  return true;
}

void JobRunner::Restart(Progress& progress) {
  progress.text.clear();
  progress.events = 0;
  progress.last_event_id.clear();
  progress.versions.clear();
}

void JobRunner::StreamEnded(ActiveJob& job,
                            std::size_t index,
                            SampleStreamOutcome end,
                            std::string_view reason) {
  Progress& progress = job.samples[index];
  const std::string server_id = progress.stream->ServerId();
  this->ended_streams.push_back(std::move(progress.stream));
  progress.stage = Stage::kWaiting;
  this->ScheduleDispatch();
  const JobState* const state = job.State();
  if (state == nullptr) {
    return;
  }
  if (end != SampleStreamOutcome::kComplete) {
    WriteLog(
        LogLevel::kInfo, "sample run ended early",
        {{"job", job.id},
         {"sample", state->job.samples[index].id},
         {"server", server_id},
         {"events", std::to_string(progress.events)},
         {"not_run", end == SampleStreamOutcome::kNotRun ? "true" : "false"},
         {"reason", std::string(reason)}});
  }
  const MonotonicTime now = this->environment.clock.Now();
  const HostRoute* const route = this->RouteOf(*state);
  const bool single_version = route != nullptr && route->single_version;
  switch (end) {
    case SampleStreamOutcome::kComplete:
      if (single_version && progress.versions.size() > 1) {
        this->Restart(progress);
        return;
      }
      if (state->job.samples[index].reward) {
        progress.stage = Stage::kWaitingForScore;
        progress.excluded.Clear();
        ++job.waiting_for_score;
        return;
      }
      this->Finish(job, *state, index, true, "");
      return;
    case SampleStreamOutcome::kUnprocessable:
      this->Finish(job, *state, index, false, "");
      return;
    case SampleStreamOutcome::kFailed:
      ++progress.failures;
      if (route != nullptr && progress.failures >= route->max_attempts) {
        this->Finish(job, *state, index, false, "");
        return;
      }
      [[fallthrough]];
    case SampleStreamOutcome::kBroken:
      progress.not_before = now + kFailedPause;
      break;
    case SampleStreamOutcome::kNotRun:
      progress.not_before = now + kRefusalBackoff;
      break;
  }
  progress.excluded.Add(server_id);
}

void JobRunner::CheckSilence(ActiveJob& job) {
  const MonotonicTime now = this->environment.clock.Now();
  for (Progress& progress : job.samples) {
    if (!progress.stream) {
      continue;
    }
    const Milliseconds limit =
        progress.stream->HasBegun() ? kLongestPause : kLongestQueueing;
    if (now - progress.stream->LastActivity() > limit) {
      progress.stream->Abort(SendOutcome::kFailed, "the server fell silent");
    }
  }
}

// A text goes on at a faster server when that makes it whole earlier, a few at
// a time: the step ends with its slowest sample.
void JobRunner::LeaveSlowServers(ActiveJob& job) {
  const JobState* const state = job.State();
  const HostRoute* const route =
      state == nullptr || !this->environment.configuration
          ? nullptr
          : this->RouteOf(*state);
  if (route == nullptr) {
    return;
  }
  // By service; paces of engines don't change meanwhile.
  struct Engines {
    std::vector<const FleetServer*> servers;
    double shortest_ms = 0;
  };
  std::map<std::string_view, Engines> engines_of;
  std::size_t moves = 0;
  for (std::size_t index = 0;
       index < job.samples.size() && moves < kMovesPerTick; ++index) {
    const Progress& progress = job.samples[index];
    if (progress.stream == nullptr || !progress.stream->HasBegun()) {
      continue;
    }
    const std::string& service = ServiceOf(*route, state->job.samples[index]);
    const auto [entry, is_new] = engines_of.try_emplace(service);
    Engines& engines = entry->second;
    if (is_new) {
      engines.servers = this->UsableEngines(*state, service);
      engines.shortest_ms =
          ShortestProcessingTimeMs(engines.servers, this->environment.loads);
    }
    const double own_ms =
        this->environment.loads.ProcessingTimeMs(progress.stream->ServerId());
    // What doesn't gain by the fastest engine gains by none.
    if (ShouldMigrateStream(progress.events, own_ms, engines.shortest_ms) &&
        this->FasterServerHasRoom(progress, own_ms, engines.servers)) {
      ++moves;
      progress.stream->Abort(SendOutcome::kCancelled,
                             "a faster server has room");
    }
  }
}

std::vector<const FleetServer*> JobRunner::FastEnough(
    std::size_t events,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  const double typical_ms = MedianProcessingTimeMs(servers, loads);
  std::vector<const FleetServer*> fast(servers.begin(), servers.end());
  std::erase_if(fast, [&](const FleetServer* server) {
    return ShouldMigrateStream(events, loads.ProcessingTimeMs(server->id),
                               typical_ms);
  });
  return fast;
}

bool JobRunner::FasterServerHasRoom(
    const Progress& progress,
    double own_ms,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  std::vector<const FleetServer*> faster(servers.begin(), servers.end());
  std::erase_if(faster, [&](const FleetServer* server) {
    return !ShouldMigrateStream(progress.events, own_ms,
                                loads.ProcessingTimeMs(server->id));
  });
  return this->Choose(faster, progress.excluded.Ids(), "",
                      kSampleRoomPerSlot) != nullptr;
}

}  // namespace carobbank
