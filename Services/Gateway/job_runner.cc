// Taking jobs up, starting their samples and reward calls, and handing results
// to the log.

#include "job_runner.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Watches for silent streams and passed deadlines; well below the shortest
// silence limit.
constexpr Milliseconds kTickPeriod{200};
// A stream that has begun sends an event every few tens of milliseconds; a
// change of weights may hold it up for about a second.
constexpr Milliseconds kLongestPause{2'500};
// Before its first event a sample may wait in the server's queue.
constexpr Milliseconds kLongestQueueing{5'000};
// Requests of this owner that a server may hold, in relation to its slots. What
// exceeds the slots waits in the server's queue and is lost with it.
constexpr double kSampleRoomPerSlot = 1.0;
// Reward calls leave places for plain calls to the same service.
constexpr double kRewardRoomPerSlot = 0.7;
// Before a sample that no server could take is offered again.
constexpr Milliseconds kRefusedPause{40};
constexpr Milliseconds kFailedPause{30};
// Ended and listed jobs are dropped from the log after the time for which their
// results must be readable, and a margin for clocks that differ.
constexpr Milliseconds kForgetMargin{30'000};
constexpr Milliseconds kForgetPeriod{5'000};
// A trainer asks for what was left of a step with one of its next steps.
constexpr Milliseconds kCarriedTime{60'000};
// Samples that are expected to be so many times longer than the others of their
// job are the ones that may be left over.
constexpr double kLongSample = 1.5;

// Texts of one job that are moved at once, so that they don't all meet at the
// same server.
constexpr std::size_t kMovesPerTick = 6;

constexpr int kInternalServerError = 500;
constexpr int kFirstFailureStatus = 300;

// A server is passed over for a sample that it has just failed or refused, but
// only as long as others were not tried as well.
void RememberAvoided(std::vector<std::string>& avoided, std::string server) {
  constexpr std::size_t kMostAvoided = 3;
  if (std::find(avoided.begin(), avoided.end(), server) != avoided.end()) {
    return;
  }
  if (avoided.size() == kMostAvoided) {
    avoided.erase(avoided.begin());
  }
  avoided.push_back(std::move(server));
}

// Lets the passed-over servers be tried again; false when there were none, so
// that no server has room at all.
bool ForgetAvoided(std::vector<std::string>& avoided) {
  const bool any = !avoided.empty();
  avoided.clear();
  return any;
}

// Samples of a group share their prompt, so they go to one service.
const std::string& ServiceOf(const HostRoute& route, const JobSample& sample) {
  return ChooseService(
      route, FastHash(sample.group.empty() ? sample.id : sample.group));
}

std::int64_t LongTokens(std::span<const JobSample> samples) {
  std::int64_t sum = 0;
  for (const JobSample& sample : samples) {
    sum += sample.expected_output_tokens;
  }
  return static_cast<std::int64_t>(kLongSample * static_cast<double>(sum) /
                                   static_cast<double>(samples.size()));
}

std::vector<std::size_t> LongestFirst(std::span<const JobSample> samples) {
  std::vector<std::size_t> order(samples.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [samples](std::size_t left, std::size_t right) {
                     return samples[left].expected_output_tokens >
                            samples[right].expected_output_tokens;
                   });
  return order;
}

}  // namespace

JobRunner::JobRunner(
    GatewayEnvironment& environment,
    const std::vector<std::unique_ptr<JobPartition>>& partitions,
    GiveTexts give_texts)
    : environment(environment),
      partitions(partitions),
      give_texts(std::move(give_texts)) {
  this->Tick();
}

JobRunner::~JobRunner() {
  *this->alive = false;
}

void JobRunner::SetOwned(std::set<std::int64_t> owned_now) {
  if (owned_now == this->owned) {
    return;
  }
  const std::set<std::int64_t> before =
      std::exchange(this->owned, std::move(owned_now));
  for (const std::int64_t partition : before) {
    if (!this->owned.contains(partition)) {
      this->GiveUp(partition);
    }
  }
  for (const std::int64_t partition : this->owned) {
    this->Reconsider(partition);
  }
}

void JobRunner::GiveUp(std::int64_t partition) {
  std::vector<SampleText> texts;
  for (const auto& [id, job] : this->jobs) {
    const JobState* const state = job->State();
    if (job->partition->Number() != partition || state == nullptr) {
      continue;
    }
    for (std::size_t index = 0; index < job->samples.size(); ++index) {
      if (auto text =
              TextOf(job->samples[index], state->job.samples[index].id)) {
        texts.push_back(std::move(*text));
      }
    }
  }
  std::erase_if(this->jobs, [partition](const auto& entry) {
    return entry.second->partition->Number() == partition;
  });
  if (this->give_texts) {
    this->give_texts(partition, texts);
  }
}

std::optional<SampleText> JobRunner::TextOf(Progress& progress,
                                            const std::string& sample_id) {
  if (progress.events == 0 || progress.stage == Stage::kFinished) {
    return std::nullopt;
  }
  const bool whole = progress.stage == Stage::kWaitingForScore ||
                     progress.stage == Stage::kScoring;
  return SampleText{sample_id,         std::move(progress.text),
                    progress.events,   progress.last_event_id,
                    progress.versions, whole};
}

void JobRunner::TakeTexts(std::vector<SampleText> texts) {
  const MonotonicTime now = this->environment.clock.Now();
  for (SampleText& text : texts) {
    const std::string sample_id = text.sample_id;
    this->carried[sample_id] = {std::move(text), now};
  }
  for (const auto& [id, job] : this->jobs) {
    if (const JobState* const state = job->State()) {
      this->TakeCarried(*job, *state);
    }
  }
  this->PumpSoon();
}

void JobRunner::Reconsider(std::int64_t number) {
  if (!this->owned.contains(number)) {
    return;
  }
  for (const auto& partition : this->partitions) {
    // Before all was read, an end that stands in the log may not be known.
    if (partition->Number() != number || !partition->Synced()) {
      continue;
    }
    this->DropMissing(*partition);
    for (const JobState* const state : partition->Fold().Jobs()) {
      this->Adopt(*partition, *state);
    }
  }
  this->PumpSoon();
}

void JobRunner::DropMissing(const JobPartition& partition) {
  std::erase_if(this->jobs, [&partition](const auto& entry) {
    return entry.second->partition == &partition && !entry.second->State();
  });
}

Milliseconds JobRunner::AgeOf(const JobState& state) const {
  return Milliseconds(this->environment.clock.WallNow() -
                      state.job.accepted_at);
}

bool JobRunner::StillOpen(const JobState& state) const {
  return !state.ended && !state.Complete();
}

void JobRunner::LogOver(const JobState& state, const ActiveJob& job) const {
  std::size_t waiting = 0;
  std::size_t unscored = 0;
  for (const Progress& progress : job.samples) {
    waiting += progress.stage == Stage::kWaiting ? 1 : 0;
    unscored += progress.stage == Stage::kWaitingForScore ||
                        progress.stage == Stage::kScoring
                    ? 1
                    : 0;
  }
  WriteLog(LogLevel::kInfo, "job over",
           {{"job", state.job.id},
            {"step", std::to_string(state.job.step)},
            {"listed", std::to_string(state.results.size())},
            {"samples", std::to_string(state.listed.size())},
            {"waiting", std::to_string(waiting)},
            {"unscored", std::to_string(unscored)},
            {"starts", std::to_string(job.starts)},
            {"last_start_ms", std::to_string(job.last_start.count())},
            {"ended_by_caller", state.ended ? "true" : "false"},
            {"age_ms", std::to_string(this->AgeOf(state).count())}});
}

void JobRunner::Adopt(JobPartition& partition, const JobState& state) {
  if (!this->StillOpen(state)) {
    const auto known = this->jobs.find(state.job.id);
    if (known != this->jobs.end()) {
      this->LogOver(state, *known->second);
      this->CarryOver(state, *known->second);
      this->jobs.erase(known);
    }
    return;
  }
  std::unique_ptr<ActiveJob>& job = this->jobs[state.job.id];
  if (!job) {
    job = std::make_unique<ActiveJob>();
    job->partition = &partition;
    job->id = state.job.id;
    job->accepted_at = state.job.accepted_at;
    job->due = state.job.due;
    job->samples.resize(state.job.samples.size());
    job->order = LongestFirst(state.job.samples);
    job->long_tokens = LongTokens(state.job.samples);
    WriteLog(LogLevel::kInfo, "job taken",
             {{"job", job->id},
              {"model", state.job.model},
              {"step", std::to_string(state.job.step)},
              {"min_version", std::to_string(state.job.min_version)},
              {"samples", std::to_string(job->samples.size())},
              {"listed", std::to_string(state.results.size())},
              {"partition", std::to_string(partition.Number())},
              {"age_ms", std::to_string(this->AgeOf(state).count())}});
    this->TakeCarried(*job, state);
  }
  this->TakeListed(*job, state);
}

void JobRunner::CarryOver(const JobState& state, ActiveJob& job) {
  std::set<std::string, std::less<>> open_groups;
  for (std::size_t index = 0; index < state.listed.size(); ++index) {
    if (!state.listed[index]) {
      open_groups.insert(state.job.samples[index].group);
    }
  }
  const MonotonicTime now = this->environment.clock.Now();
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const std::string& sample_id = state.job.samples[index].id;
    if (auto text = TextOf(job.samples[index], sample_id)) {
      this->carried[sample_id] = {std::move(*text), now};
    }
  }
  for (const JobResult& result : state.results) {
    const std::size_t index = *state.IndexOf(result.sample_id);
    if (result.completed &&
        open_groups.contains(state.job.samples[index].group)) {
      SampleText text;
      text.sample_id = result.sample_id;
      text.text = result.output;
      text.events = 1;
      text.versions = {result.versions.begin(), result.versions.end()};
      text.whole = true;
      this->carried[result.sample_id] = {std::move(text), now};
    }
  }
}

void JobRunner::TakeCarried(ActiveJob& job, const JobState& state) {
  std::size_t taken = 0;
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    const auto found = this->carried.find(state.job.samples[index].id);
    if (found == this->carried.end()) {
      continue;
    }
    SampleText text = std::move(found->second.text);
    this->carried.erase(found);
    taken += this->TakeText(job, state, index, std::move(text)) ? 1 : 0;
  }
  if (taken > 0) {
    WriteLog(LogLevel::kInfo, "texts carried over",
             {{"job", job.id}, {"texts", std::to_string(taken)}});
  }
}

bool JobRunner::TakeText(ActiveJob& job,
                         const JobState& state,
                         std::size_t index,
                         SampleText text) {
  const HostRoute* const route =
      this->environment.configuration ? this->RouteOf(state) : nullptr;
  const bool single_version = route != nullptr && route->single_version;
  Progress& progress = job.samples[index];
  const bool open =
      progress.stage == Stage::kWaiting || progress.stage == Stage::kGenerating;
  const bool fits =
      (text.versions.empty() ||
       *text.versions.begin() >= state.job.min_version) &&
      !(single_version && (!text.whole || text.versions.size() > 1));
  if (!open || state.listed[index] || !fits ||
      (!text.whole && text.events <= progress.events)) {
    return false;
  }
  progress = Progress();
  progress.text = std::move(text.text);
  progress.events = text.events;
  progress.last_event_id = std::move(text.last_event_id);
  progress.versions = std::move(text.versions);
  if (text.whole && state.job.samples[index].reward) {
    progress.stage = Stage::kWaitingForScore;
    ++job.waiting_for_score;
  } else if (text.whole) {
    this->Finish(job, state, index, true, "");
  }
  return true;
}

void JobRunner::TakeListed(ActiveJob& job, const JobState& state) {
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    Progress& progress = job.samples[index];
    if (state.listed[index] && progress.stage != Stage::kFinished) {
      job.waiting_for_score -=
          progress.stage == Stage::kWaitingForScore ? 1 : 0;
      progress = Progress();
      progress.stage = Stage::kFinished;
    }
  }
}

std::size_t JobRunner::RunningSamples() const {
  std::size_t running = 0;
  for (const auto& [id, job] : this->jobs) {
    running += static_cast<std::size_t>(std::count_if(
        job->samples.begin(), job->samples.end(), [](const Progress& sample) {
          return sample.stage == Stage::kGenerating ||
                 sample.stage == Stage::kScoring;
        }));
  }
  return running;
}

void JobRunner::PumpSoon() {
  if (this->pump_posted) {
    return;
  }
  this->pump_posted = true;
  this->environment.loop.Post([this, kept = this->alive] {
    if (*kept) {
      this->pump_posted = false;
      this->Pump();
    }
  });
}

// Jobs that can still be in time come first, the oldest of them first.
std::vector<JobRunner::ActiveJob*> JobRunner::JobsInOrder() const {
  const WallMilliseconds now = this->environment.clock.WallNow();
  const auto overdue = [now](const ActiveJob* job) {
    return now > job->accepted_at + job->due.count();
  };
  std::vector<ActiveJob*> ordered;
  for (const auto& [id, job] : this->jobs) {
    ordered.push_back(job.get());
  }
  std::sort(
      ordered.begin(), ordered.end(),
      [&](const ActiveJob* left, const ActiveJob* right) {
        return std::make_tuple(overdue(left), left->accepted_at, left->id) <
               std::make_tuple(overdue(right), right->accepted_at, right->id);
      });
  return ordered;
}

void JobRunner::Pump() {
  this->ended_streams.clear();
  this->ended_calls.clear();
  if (!this->environment.configuration) {
    return;
  }
  for (ActiveJob* const job : this->JobsInOrder()) {
    const JobState* const state = job->State();
    if (state == nullptr) {
      continue;
    }
    this->StartScores(*job, *state);
    this->StartSamples(*job, *state);
  }
}

const HostRoute* JobRunner::RouteOf(const JobState& state) const {
  return this->environment.configuration->routes.Find(state.job.host,
                                                      state.job.path);
}

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
      this->environment.fleet.Serving(service);
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
                         progress.avoided, "", kSampleRoomPerSlot)) {
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
            newest, progress.avoided, preferred, kSampleRoomPerSlot)) {
      return server;
    }
  }
  return this->Choose(servers, progress.avoided, preferred, kSampleRoomPerSlot);
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
    return ForgetAvoided(progress.avoided);
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
  SetHeader(request.headers, this->environment.dialect.Headers().request_id,
            sample.id);
  request.body = *body;
  request.request_id = sample.id;
  request.time_left =
      std::max(state.job.retention - this->AgeOf(state), Milliseconds(1));
  if (!sample.group.empty()) {
    job.group_servers[sample.group] = server->id;
  }
  StreamHandlers handlers;
  handlers.on_event = [this, &job, index](std::string_view data,
                                          std::string_view event_id,
                                          std::int64_t version) {
    return this->TakeEvent(job, index, data, event_id, version);
  };
  handlers.on_end = [this, &job, index](StreamEnd end,
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
                            StreamEnd end,
                            std::string_view reason) {
  Progress& progress = job.samples[index];
  const std::string server_id = progress.stream->ServerId();
  this->ended_streams.push_back(std::move(progress.stream));
  progress.stage = Stage::kWaiting;
  this->PumpSoon();
  const JobState* const state = job.State();
  if (state == nullptr) {
    return;
  }
  if (end != StreamEnd::kComplete) {
    WriteLog(LogLevel::kInfo, "sample run ended early",
             {{"job", job.id},
              {"sample", state->job.samples[index].id},
              {"server", server_id},
              {"events", std::to_string(progress.events)},
              {"not_run", end == StreamEnd::kNotRun ? "true" : "false"},
              {"reason", std::string(reason)}});
  }
  const MonotonicTime now = this->environment.clock.Now();
  const HostRoute* const route = this->RouteOf(*state);
  const bool single_version = route != nullptr && route->single_version;
  switch (end) {
    case StreamEnd::kComplete:
      if (single_version && progress.versions.size() > 1) {
        this->Restart(progress);
        return;
      }
      if (state->job.samples[index].reward) {
        progress.stage = Stage::kWaitingForScore;
        progress.avoided.clear();
        ++job.waiting_for_score;
        return;
      }
      this->Finish(job, *state, index, true, "");
      return;
    case StreamEnd::kImpossible:
      this->Finish(job, *state, index, false, "");
      return;
    case StreamEnd::kFailed:
      ++progress.failures;
      if (route != nullptr && progress.failures >= route->max_attempts) {
        this->Finish(job, *state, index, false, "");
        return;
      }
      [[fallthrough]];
    case StreamEnd::kBroken:
      progress.not_before = now + kFailedPause;
      break;
    case StreamEnd::kNotRun:
      progress.not_before = now + kRefusedPause;
      break;
  }
  RememberAvoided(progress.avoided, server_id);
}

void JobRunner::StartScores(ActiveJob& job, const JobState& state) {
  if (job.waiting_for_score == 0) {
    return;
  }
  const MonotonicTime now = this->environment.clock.Now();
  for (std::size_t place = job.first_open; place < job.order.size(); ++place) {
    const std::size_t index = job.order[place];
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

bool JobRunner::StartScore(ActiveJob& job,
                           const JobState& state,
                           std::size_t index) {
  const RewardCall& reward = *state.job.samples[index].reward;
  Progress& progress = job.samples[index];
  const HostRoute* const route =
      this->environment.configuration->routes.Find(reward.host, reward.path);
  const std::optional<std::string> body = DecodeBase64(reward.body_base64);
  if (route == nullptr || !body) {
    --job.waiting_for_score;
    this->Finish(job, state, index, false, "");
    return true;
  }
  const std::vector<const FleetServer*> servers =
      this->environment.fleet.Serving(
          ChooseService(*route, FastHash(reward.id)));
  const FleetServer* const server =
      this->Choose(servers, progress.avoided, "", kRewardRoomPerSlot);
  if (server == nullptr) {
    return ForgetAvoided(progress.avoided);
  }
  BackendRequest request;
  request.method = "POST";
  request.target = reward.path;
  request.headers = {
      {"Host", reward.host},
      {std::string(this->environment.dialect.Headers().request_id), reward.id}};
  request.body = *body;
  request.request_id = reward.id;
  request.time_left = route->timeout;
  --job.waiting_for_score;
  progress.stage = Stage::kScoring;
  progress.reward =
      BackendCall::Start(this->environment, *server, request,
                         [this, &job, index](BackendAnswer answer) {
                           this->Scored(job, index, std::move(answer));
                         });
  return true;
}

void JobRunner::Scored(ActiveJob& job,
                       std::size_t index,
                       BackendAnswer answer) {
  Progress& progress = job.samples[index];
  const std::string server_id = progress.reward->ServerId();
  this->ended_calls.push_back(std::move(progress.reward));
  this->PumpSoon();
  const JobState* const state = job.State();
  if (state == nullptr) {
    return;
  }
  const WireHeaders& names = this->environment.dialect.Headers();
  const bool answered = answer.verdict == BackendVerdict::kAnswer;
  if (answered && answer.response.status < kFirstFailureStatus) {
    const auto signature = FindHeader(answer.response.headers, names.signature);
    this->Finish(job, *state, index, true, std::string(signature.value_or("")));
    return;
  }
  const RewardCall& reward = *state->job.samples[index].reward;
  const HostRoute* const route =
      this->environment.configuration->routes.Find(reward.host, reward.path);
  if (answered && answer.response.status == kInternalServerError) {
    ++progress.reward_failures;
  }
  if (route != nullptr && progress.reward_failures >= route->max_attempts) {
    this->Finish(job, *state, index, false, "");
    return;
  }
  progress.stage = Stage::kWaitingForScore;
  ++job.waiting_for_score;
  progress.not_before = this->environment.clock.Now() + kRefusedPause;
  RememberAvoided(progress.avoided, server_id);
}

void JobRunner::Finish(ActiveJob& job,
                       const JobState& state,
                       std::size_t index,
                       bool completed,
                       std::string score) {
  Progress& progress = job.samples[index];
  JobResult result;
  result.sample_id = state.job.samples[index].id;
  result.completed = completed;
  if (completed) {
    result.output = std::move(progress.text);
    result.versions.assign(progress.versions.begin(), progress.versions.end());
    result.score = std::move(score);
  }
  progress = Progress();
  progress.stage = Stage::kFinished;
  JobWrite write;
  write.records.push_back(EncodeResult(job.id, result));
  write.may_wait = true;
  write.is_redundant = [id = job.id,
                        sample = result.sample_id](const JobFold& fold) {
    const JobState* const known = fold.Find(id);
    if (known == nullptr || known->ended) {
      return true;
    }
    const std::optional<std::size_t> found = known->IndexOf(sample);
    return !found || known->listed[*found];
  };
  job.partition->Write(std::move(write));
}

void JobRunner::Tick() {
  this->tick = this->environment.loop.CallAfter(kTickPeriod, [this] {
    this->Tick();
    const std::vector<ActiveJob*> ordered = this->JobsInOrder();
    for (ActiveJob* const job : ordered) {
      this->CheckSilence(*job);
      this->LeaveSlowServers(*job);
      const JobState* const state = job->State();
      if (state != nullptr && this->AgeOf(*state) > state->job.retention) {
        this->GiveUpExpired(*job, *state);
      }
    }
    if (!ordered.empty()) {
      this->Pump();
    }
    this->ForgetOld();
  });
}

void JobRunner::CheckSilence(ActiveJob& job) {
  const MonotonicTime now = this->environment.clock.Now();
  for (Progress& progress : job.samples) {
    if (!progress.stream) {
      continue;
    }
    const Milliseconds limit =
        progress.stream->HasBegun() ? kLongestPause : kLongestQueueing;
    if (now - progress.stream->LastNews() > limit) {
      progress.stream->GiveUp(SendOutcome::kFailed, "the server fell silent");
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
  // By service.
  std::map<std::string_view, std::vector<const FleetServer*>> engines_of;
  std::size_t moves = 0;
  for (std::size_t index = 0;
       index < job.samples.size() && moves < kMovesPerTick; ++index) {
    const Progress& progress = job.samples[index];
    if (progress.stream == nullptr || !progress.stream->HasBegun()) {
      continue;
    }
    const std::string& service = ServiceOf(*route, state->job.samples[index]);
    const auto [entry, is_new] = engines_of.try_emplace(service);
    if (is_new) {
      entry->second = this->UsableEngines(*state, service);
    }
    if (this->FasterServerHasRoom(progress, entry->second)) {
      ++moves;
      progress.stream->GiveUp(SendOutcome::kCancelled,
                              "a faster server has room");
    }
  }
}

std::vector<const FleetServer*> JobRunner::FastEnough(
    std::size_t events,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  const double typical_ms = TypicalWorkTimeMs(servers, loads);
  std::vector<const FleetServer*> fast(servers.begin(), servers.end());
  std::erase_if(fast, [&](const FleetServer* server) {
    return WorthMoving(events, loads.WorkTimeMs(server->id), typical_ms);
  });
  return fast;
}

bool JobRunner::FasterServerHasRoom(
    const Progress& progress,
    std::span<const FleetServer* const> servers) const {
  const BackendLoads& loads = this->environment.loads;
  const double own_ms = loads.WorkTimeMs(progress.stream->ServerId());
  std::vector<const FleetServer*> faster(servers.begin(), servers.end());
  std::erase_if(faster, [&](const FleetServer* server) {
    return !WorthMoving(progress.events, own_ms, loads.WorkTimeMs(server->id));
  });
  return this->Choose(faster, progress.avoided, "", kSampleRoomPerSlot) !=
         nullptr;
}

void JobRunner::GiveUpExpired(ActiveJob& job, const JobState& state) {
  for (std::size_t index = 0; index < job.samples.size(); ++index) {
    if (job.samples[index].stage != Stage::kFinished) {
      this->Finish(job, state, index, false, "");
    }
  }
  job.waiting_for_score = 0;
}

void JobRunner::ForgetOld() {
  const MonotonicTime now = this->environment.clock.Now();
  if (this->last_forgetting != MonotonicTime::min() &&
      now - this->last_forgetting < kForgetPeriod) {
    return;
  }
  this->last_forgetting = now;
  std::erase_if(this->carried, [now](const auto& entry) {
    return now - entry.second.kept_at > kCarriedTime;
  });
  const Milliseconds kept =
      std::chrono::seconds(this->environment.settings.results_kept_s) +
      kForgetMargin;
  for (const auto& partition : this->partitions) {
    if (!this->owned.contains(partition->Number())) {
      continue;
    }
    for (const JobState* const state : partition->Fold().Jobs()) {
      if (this->StillOpen(*state) || this->AgeOf(*state) < kept) {
        continue;
      }
      JobWrite write;
      for (const std::string& key : partition->Fold().KeysOf(state->job.id)) {
        write.records.push_back({key, ""});
      }
      write.may_wait = true;
      write.is_redundant = [id = state->job.id](const JobFold& fold) {
        return fold.Find(id) == nullptr;
      };
      partition->Write(std::move(write));
    }
  }
}

}  // namespace carobbank
