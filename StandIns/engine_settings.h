// Settings and injected faults of the stand-in engine.

#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "StandIns/setting_table.h"

namespace carobbank {

// Times are those of a real engine; they are multiplied by time_scale and
// slow_factor.
struct EngineSettings {
  std::string model = "model";
  // The version that the engine starts with.
  std::int64_t version = 1;
  double time_scale = 1.0;
  // A fault: multiplies all times.
  double slow_factor = 1.0;

  std::int64_t max_batch = 16;
  // One step generates one token for each running generation and takes
  // token_interval_us + running * token_interval_per_sequence_us, plus
  // prefill_us_per_token for each uncached token of the generations that start
  // in the step.
  std::int64_t token_interval_us = 20'000;
  std::int64_t token_interval_per_sequence_us = 500;
  std::int64_t prefill_us_per_token = 100;
  // Maximum number of tokens in a streamed chunk.
  std::int64_t chunk_tokens = 1;
  std::int64_t cache_tokens = 100'000;

  std::int64_t median_tokens = 200;
  double length_sigma = 0.6;
  std::int64_t max_length = 4'096;

  std::int64_t load_report_ms = 500;
  std::int64_t cache_event_delay_ms = 1'000;
  // Probability that a cache event is never published.
  double cache_event_gap = 0.05;

  // Duration of an order, without the fetch of the weights.
  std::int64_t load_ms = 2'000;
  // Base URL of the weight store; when empty, no weights are fetched.
  std::string weight_store;
  bool checks_fencing = true;
  // The next N orders fail once load_ms has passed.
  std::int64_t fail_orders = 0;
  // Whether a failed order crashes the engine.
  bool crash_on_failed_order = false;
  // The next N orders are executed, but their connection is aborted.
  std::int64_t lose_order_answers = 0;

  // The engine crashes when it starts a prompt that contains this text; empty
  // means none.
  std::string crash_marker;
  // The next N generations end half way: with truncate_answers the HTTP
  // response ends normally but without [DONE], with cut_answers its connection
  // is aborted.
  std::int64_t truncate_answers = 0;
  std::int64_t cut_answers = 0;
  // The next N generations swap connections with a running generation, so that
  // each caller receives the output of the other.
  std::int64_t cross_answers = 0;
};

std::span<const SettingField<EngineSettings>> EngineSettingFields();

}  // namespace carobbank
