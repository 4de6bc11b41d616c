// The engine stand-in's steps. Each step adds one token to every running
// generation.

#include <algorithm>

#include "StandIns/completion_writer.h"
#include "StandIns/engine_stand_in.h"

namespace carobbank {

namespace {

// Maximum number of overdue steps that one timer callback runs. Further overdue
// time is dropped, so that an overloaded host slows the engine down.
constexpr int kMaxStepsPerTimer = 64;

}  // namespace

EngineStandIn::StepTime EngineStandIn::Now() const {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      this->clock.Now());
}

std::chrono::microseconds EngineStandIn::Scaled(
    std::int64_t microseconds) const {
  const double scaled = static_cast<double>(microseconds) *
                        this->settings.time_scale * this->settings.slow_factor;
  return std::chrono::microseconds(static_cast<std::int64_t>(scaled));
}

Milliseconds EngineStandIn::ScaledDelay(std::int64_t milliseconds) const {
  const auto scaled = this->Scaled(milliseconds * 1'000);
  return std::max(std::chrono::ceil<Milliseconds>(scaled), Milliseconds(1));
}

void EngineStandIn::BeginStep() {
  // Once the weights of a "wait" order are loaded, no generation starts on the
  // old version.
  const bool admission_open = !this->weights_are_loaded;
  auto plan = this->batch.PlanStep(this->settings, this->cache, admission_open);
  const MonotonicTime visible_at =
      this->clock.Now() +
      this->ScaledDelay(this->settings.cache_event_delay_ms);
  for (const PrefixChange& change : plan.cache_changes) {
    const bool lost = this->random.Unit() < this->settings.cache_event_gap;
    this->cache_events.Add(change, visible_at, lost);
  }
  for (const GenerationPointer& generation : plan.started) {
    if (this->ContainsCrashMarker(*generation)) {
      this->Crash();
      return;
    }
  }
  if (this->batch.Running().empty()) {
    this->step_ends_at.reset();
    return;
  }
  const StepTime begin = this->step_ends_at.value_or(this->Now());
  this->step_ends_at = begin + this->Scaled(plan.duration_us);
}

void EngineStandIn::ScheduleStep() {
  if (!this->step_ends_at.has_value()) {
    return;
  }
  const auto remaining =
      std::chrono::ceil<Milliseconds>(*this->step_ends_at - this->Now());
  this->After(std::max(remaining, Milliseconds(1)),
              [this, timer = ++this->step_timer] {
                if (timer == this->step_timer) {
                  this->RunDueSteps();
                }
              });
}

void EngineStandIn::RunDueSteps() {
  int steps_remaining = kMaxStepsPerTimer;
  while (this->step_ends_at.has_value() && *this->step_ends_at <= this->Now() &&
         steps_remaining > 0) {
    this->EndStep();
    --steps_remaining;
  }
  const bool is_behind = steps_remaining == 0 && this->step_ends_at.has_value();
  if (is_behind) {
    this->step_ends_at = std::max(*this->step_ends_at, this->Now());
  }
  this->ScheduleStep();
}

void EngineStandIn::EndStep() {
  const auto running = this->batch.Running();
  const std::vector<GenerationPointer> due(running.begin(), running.end());
  for (const GenerationPointer& generation : due) {
    this->AddToken(generation);
  }
  this->SwitchIfReady();
  this->BeginStep();
}

void EngineStandIn::AddToken(const GenerationPointer& generation) {
  if (generation->HasEnded()) {
    return;
  }
  generation->engine_version = this->version;
  if (generation->next_token < generation->end_token) {
    const std::uint64_t token = generation->next_token;
    generation->AddToken(this->version);
    generation->writer->WriteToken(*generation, token, this->version);
  }
  this->FinishIfDue(generation);
}

void EngineStandIn::FinishIfDue(const GenerationPointer& generation) {
  const bool stops_early = generation->next_token >= generation->fault_token;
  if (generation->is_truncated && stops_early) {
    generation->writer->Truncate(*generation);
    this->EndGeneration(generation, "truncated");
  } else if (generation->is_aborted && stops_early) {
    generation->writer->Abort();
    this->EndGeneration(generation, "cut");
  } else if (generation->next_token == generation->end_token) {
    generation->writer->Complete(*generation);
    this->EndGeneration(generation, std::string(generation->finish_reason));
  }
}

bool EngineStandIn::ContainsCrashMarker(
    const EngineGeneration& generation) const {
  const std::string& marker = this->settings.crash_marker;
  return !marker.empty() && generation.prompt.find(marker) != std::string::npos;
}

}  // namespace carobbank
