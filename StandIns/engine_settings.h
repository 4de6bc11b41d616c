// Settings and faults of the stand-in engine.

#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "StandIns/setting_table.h"

namespace carobbank {

// Times are those of a real engine; time_scale shortens them all.
struct EngineSettings {
  std::string model = "model";
  // The version that the engine starts with.
  std::int64_t version = 1;
  double time_scale = 1.0;
  // A fault: everything takes that many times as long.
  double slow_factor = 1.0;

  std::int64_t max_batch = 16;
  // One step generates one token for each running generation and takes
  // token_interval_us + running * token_interval_per_sequence_us, plus
  // prefill_us_per_token for each uncached token of those that begin with it.
  std::int64_t token_interval_us = 20'000;
  std::int64_t token_interval_per_sequence_us = 500;
  std::int64_t prefill_us_per_token = 100;
  // Tokens that one streamed chunk holds at most.
  std::int64_t chunk_tokens = 1;
  std::int64_t cache_tokens = 100'000;

  std::int64_t median_tokens = 200;
  double length_sigma = 0.6;
  std::int64_t max_length = 4'096;

  std::int64_t load_report_ms = 500;
  std::int64_t cache_event_delay_ms = 1'000;
  // Probability that a cache event is never published.
  double cache_event_gap = 0.05;

  // How long an order takes besides fetching the weights.
  std::int64_t load_ms = 2'000;
  // Base URL of the weight store; empty fetches nothing.
  std::string weight_store;
  bool checks_fencing = true;
  // The next orders fail after their time has passed.
  std::int64_t fail_orders = 0;
  // Whether a failed order crashes the engine.
  bool crash_on_failed_order = false;
  // The next orders are carried out and their connection is cut.
  std::int64_t lose_order_answers = 0;

  // The engine crashes when it begins a prompt that holds this text.
  std::string crash_marker;
  // The next generations end half way: the first kind ends its HTTP answer in
  // good order but without [DONE], the second cuts its connection.
  std::int64_t truncate_answers = 0;
  std::int64_t cut_answers = 0;
  // The next generations exchange their connection with a running one.
  std::int64_t cross_answers = 0;
};

std::span<const SettingField<EngineSettings>> EngineSettingFields();

}  // namespace carobbank
