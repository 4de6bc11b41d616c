// Seeded runs of several gateways under fatal and sound requests at once, while
// servers die for other reasons, gateways are lost and replaced, and the log is
// away. CAROBBANK_SOAK_SEEDS, such as "1-50", selects the seeds.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <set>

#include "Gateway/gateway_fleet.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kGateways = 4;
constexpr Milliseconds kTick{10};
constexpr Milliseconds kDuration{12'000};
// The rule of the platform: later than this after its third crash, a request
// reaches servers in at most three retries more.
constexpr Milliseconds kTimeToNotice{3'000};
constexpr std::size_t kCrashesToNotice = 3;
constexpr std::size_t kMostRetries = 3;
// Samples and reward calls are owed: from this crash on, their repeats are this
// far apart.
constexpr std::size_t kCrashesToSpace = 4;
constexpr Milliseconds kSpacing = kLongestOwedDelay - Milliseconds(20);

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 5;
};

SeedRange SeedsToRun() {
  SeedRange seeds;
  const char* const text = std::getenv("CAROBBANK_SOAK_SEEDS");
  if (text != nullptr) {
    const std::string_view range(text);
    const std::size_t dash = std::min(range.find('-'), range.size());
    seeds.first =
        ParseInteger<std::uint64_t>(range.substr(0, dash)).value_or(1);
    seeds.last = dash == range.size()
                     ? seeds.first
                     : ParseInteger<std::uint64_t>(range.substr(dash + 1))
                           .value_or(seeds.first);
  }
  return seeds;
}

// A caller of a sound request, who sends it again until it is served.
struct SoundCaller {
  std::string body;
  GatewayParts* gateway = nullptr;
  ReceivedResponse received;
  std::shared_ptr<ForwardedCall> call;
};

struct SoakReport {
  std::size_t sound_calls = 0;
  std::size_t sound_samples = 0;
  // Sound calls that were refused as quarantined at least once.
  std::set<std::string> refused;
  std::size_t gateways_lost = 0;
  std::size_t servers_lost = 0;
  std::size_t outages = 0;
  std::size_t most_crashes = 0;
  std::size_t most_late_retries = 0;
  // Repeats of owed work that came too soon after a crash.
  std::size_t early_repeats = 0;
};

class Soak {
 public:
  explicit Soak(std::uint64_t seed) : random(seed) {}

  SoakReport Run() {
    const MonotonicTime end = std::chrono::steady_clock::now() + kDuration;
    this->PutJob();
    this->fleet.gateways.front()->runner->SetOwned({0});
    while (std::chrono::steady_clock::now() < end) {
      this->Act();
      this->fleet.RunFor(kTick);
      this->Observe();
    }
    this->fleet.fixture.log.faults.outage = false;
    CHECK_TRUE_TEXT(this->fleet.RunUntil([this] {
      this->Observe();
      return this->callers.empty() && this->AllSoundSamplesHaveResults();
    }),
                    this->Unserved().c_str());
    this->CountCrashes();
    return this->report;
  }

 private:
  bool Chance(double probability) { return this->random.Unit() < probability; }
  GatewayParts& AnyGateway() {
    return *this->fleet
                .gateways[this->random.Below(this->fleet.gateways.size())];
  }

  void Act() {
    this->StartSoundCaller();
    for (const char* body : {"fatal call", "fatal call of another caller"}) {
      if (this->Chance(0.04)) {
        this->StartFatalCall(body);
      }
    }
    if (this->Chance(0.006)) {
      this->LoseServer();
    }
    if (this->Chance(0.002)) {
      this->RestartGateway();
    }
    if (this->Chance(this->fleet.fixture.log.faults.outage ? 0.012 : 0.002)) {
      this->ToggleOutage();
    }
    if (this->Chance(0.004)) {
      this->PutJob();
    }
  }

  void StartSoundCaller() {
    SoundCaller& caller = this->callers.emplace_back();
    caller.body = "sound " + std::to_string(++this->report.sound_calls);
    this->Send(caller);
  }

  void Send(SoundCaller& caller) {
    caller.received = ReceivedResponse();
    caller.gateway = &this->AnyGateway();
    caller.call = this->fleet.StartCall(*caller.gateway, "/app/x", caller.body,
                                        caller.received);
  }

  void StartFatalCall(const std::string& body) {
    GatewayParts& gateway = this->AnyGateway();
    auto received = std::make_unique<ReceivedResponse>();
    const char* const target = this->Chance(0.5) ? "/app/x" : "/once/x";
    this->fatal_calls.push_back(
        {&gateway, this->fleet.StartCall(gateway, target, body, *received),
         std::move(received)});
  }

  void LoseServer() {
    const std::string service = this->Chance(0.5) ? "app-" : "llm-";
    this->fleet.servers.CrashWhere(
        service + std::to_string(this->random.Below(8)), false);
    ++this->report.servers_lost;
  }

  void RestartGateway() {
    const std::size_t index = this->random.Below(this->fleet.gateways.size());
    GatewayParts* const lost = this->fleet.gateways[index].get();
    const std::string lost_name = lost->settings.instance;
    std::erase_if(this->fatal_calls,
                  [lost](const auto& call) { return call.gateway == lost; });
    std::vector<SoundCaller*> disconnected;
    for (SoundCaller& caller : this->callers) {
      if (caller.gateway == lost) {
        caller.call.reset();
        disconnected.push_back(&caller);
      }
    }
    this->fleet.RestartGateway(index);
    this->restarts[lost_name].push_back(std::chrono::steady_clock::now());
    this->fleet.gateways.front()->runner->SetOwned({0});
    for (SoundCaller* const caller : disconnected) {
      this->Send(*caller);
    }
    ++this->report.gateways_lost;
  }

  void ToggleOutage() {
    bool& outage = this->fleet.fixture.log.faults.outage;
    outage = !outage;
    this->log_changes.push_back(std::chrono::steady_clock::now());
    if (outage) {
      this->fleet.fixture.log.FailWaitingReads();
      ++this->report.outages;
    }
  }

  void PutJob() {
    if (this->fleet.fixture.log.faults.outage) {
      return;
    }
    constexpr std::size_t kSamples = 40;
    BatchJob job =
        this->fleet.Job("j" + std::to_string(this->jobs.size()), kSamples);
    for (std::size_t index = 0; index < kSamples; ++index) {
      JobSample& sample = job.samples[index];
      sample.group = "g" + std::to_string(index / 4);
      sample.reward = RewardCall{"reward-" + sample.id, "app.example",
                                 "/app/reward/" + sample.id,
                                 EncodeBase64("of " + sample.id)};
    }
    // The fatal sample of an earlier job comes again with a later one.
    job.samples[9].path = "/train/again";
    job.samples[9].body_base64 = EncodeBase64(kFatalSample);
    job.samples[21].reward->path = "/app/reward/again";
    job.samples[21].reward->body_base64 = EncodeBase64(kFatalReward);
    this->fleet.PutJob(job);
    this->report.sound_samples += kSamples - kFatalSamples;
    this->jobs.push_back(std::move(job));
  }

  void Observe() {
    std::erase_if(this->fatal_calls,
                  [](const auto& call) { return call.call->Ended(); });
    for (auto caller = this->callers.begin(); caller != this->callers.end();) {
      if (!caller->call->Ended()) {
        ++caller;
        continue;
      }
      if (caller->received.status == 200) {
        caller = this->callers.erase(caller);
        continue;
      }
      if (caller->received.body.find("quarantined") != std::string::npos) {
        this->report.refused.insert(caller->body);
      }
      this->Send(*caller);
      ++caller;
    }
  }

  bool AllSoundSamplesHaveResults() const {
    return std::all_of(
        this->jobs.begin(), this->jobs.end(), [this](const BatchJob& job) {
          return GatewayFleet::Results(*this->fleet.gateways.front(), job.id) ==
                 job.samples.size() - kFatalSamples;
        });
  }

  std::string Unserved() const {
    std::string text =
        std::to_string(this->callers.size()) + " calls not served; results:";
    for (const BatchJob& job : this->jobs) {
      text += " " + std::to_string(GatewayFleet::Results(
                        *this->fleet.gateways.front(), job.id));
    }
    return text;
  }

  // Whether, at no moment of the last `kTimeToNotice`, the gateway was
  // restarted or the log was away.
  bool InTouch(const FatalCrash& crash) const {
    const auto recent = [&crash](MonotonicTime at) {
      return at <= crash.at && crash.at - at < kTimeToNotice;
    };
    const auto found = this->restarts.find(crash.client);
    const bool restarted =
        found != this->restarts.end() &&
        std::any_of(found->second.begin(), found->second.end(), recent);
    // Outages begin and end in turn.
    const auto changes =
        std::count_if(this->log_changes.begin(), this->log_changes.end(),
                      [&crash](MonotonicTime at) { return at <= crash.at; });
    return !restarted && changes % 2 == 0 &&
           std::none_of(this->log_changes.begin(), this->log_changes.end(),
                        recent);
  }

  // Prints when which gateway's run of the request crashed a server.
  void Describe(const std::string& request,
                const std::vector<FatalCrash>& all) const {
    std::printf("%s:", request.c_str());
    for (const FatalCrash& crash : all) {
      const auto elapsed =
          std::chrono::duration_cast<Milliseconds>(crash.at - all.front().at);
      std::printf(" %lld ms %s%s;", static_cast<long long>(elapsed.count()),
                  crash.client.c_str(), this->InTouch(crash) ? "" : " (*)");
    }
    std::printf("\n");
  }

  void CountCrashes() {
    std::map<std::string, std::vector<FatalCrash>> crashes;
    for (const FatalCrash& crash : this->fleet.servers.fatal_crashes) {
      crashes[crash.target + " " + crash.body].push_back(crash);
    }
    for (const auto& [request, all] : crashes) {
      if (all.front().body == kFatalSample ||
          all.front().body == kFatalReward) {
        this->CountEarlyRepeats(all);
        continue;
      }
      this->report.most_crashes =
          std::max(this->report.most_crashes, all.size());
      if (all.size() < kCrashesToNotice) {
        continue;
      }
      this->Describe(request, all);
      const MonotonicTime noticed =
          all[kCrashesToNotice - 1].at + kTimeToNotice;
      const auto late = static_cast<std::size_t>(
          std::count_if(all.begin(), all.end(), [&](const FatalCrash& crash) {
            return crash.at > noticed && this->InTouch(crash);
          }));
      this->report.most_late_retries =
          std::max(this->report.most_late_retries, late);
    }
  }

  void CountEarlyRepeats(const std::vector<FatalCrash>& all) {
    for (std::size_t index = kCrashesToSpace; index < all.size(); ++index) {
      const bool early = all[index].at - all[index - 1].at < kSpacing;
      this->report.early_repeats += early && this->InTouch(all[index]) ? 1 : 0;
    }
  }

  static constexpr const char* kFatalSample = "fatal sample";
  static constexpr const char* kFatalReward = "fatal reward";

  struct FatalCall {
    GatewayParts* gateway = nullptr;
    std::shared_ptr<ForwardedCall> call;
    std::unique_ptr<ReceivedResponse> received;
  };
  static constexpr std::size_t kFatalSamples = 2;

  Random random;
  GatewayFleet fleet{kGateways};
  std::list<SoundCaller> callers;
  std::vector<FatalCall> fatal_calls;
  std::vector<BatchJob> jobs;
  // Times of restarts, by gateway.
  std::map<std::string, std::vector<MonotonicTime>> restarts;
  // Starts and ends of outages in turn.
  std::vector<MonotonicTime> log_changes;
  SoakReport report;
};

}  // namespace

TEST_GROUP(FatalRequestSoak){};

TEST(FatalRequestSoak, FatalRequestsGoOnOrSoundOnesStayRefused) {
  const SeedRange seeds = SeedsToRun();
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    const SoakReport report = Soak(seed).Run();
    std::printf(
        "seed %llu: fatal requests crashed at most %zu servers, %zu of them "
        "late; %zu sound samples; %zu sound calls, %zu refused for a while; "
        "lost: %zu servers, %zu gateways, the log %zu times\n",
        static_cast<unsigned long long>(seed), report.most_crashes,
        report.most_late_retries, report.sound_samples, report.sound_calls,
        report.refused.size(), report.servers_lost, report.gateways_lost,
        report.outages);
    CHECK_TRUE(report.most_late_retries <= kMostRetries);
    LONGS_EQUAL(0, report.early_repeats);
  }
}

}  // namespace carobbank
