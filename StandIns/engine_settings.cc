// The table of the stand-in engine's settings.

#include "StandIns/engine_settings.h"

namespace carobbank {

std::span<const SettingField<EngineSettings>> EngineSettingFields() {
  using Settings = EngineSettings;
  static constexpr SettingField<Settings> kFields[] = {
      {"model", &Settings::model},
      {"version", &Settings::version},
      {"time_scale", &Settings::time_scale},
      {"slow_factor", &Settings::slow_factor},
      {"max_batch", &Settings::max_batch},
      {"token_interval_us", &Settings::token_interval_us},
      {"token_interval_per_sequence_us",
       &Settings::token_interval_per_sequence_us},
      {"prefill_us_per_token", &Settings::prefill_us_per_token},
      {"chunk_tokens", &Settings::chunk_tokens},
      {"cache_tokens", &Settings::cache_tokens},
      {"median_tokens", &Settings::median_tokens},
      {"length_sigma", &Settings::length_sigma},
      {"max_length", &Settings::max_length},
      {"load_report_ms", &Settings::load_report_ms},
      {"cache_event_delay_ms", &Settings::cache_event_delay_ms},
      {"cache_event_gap", &Settings::cache_event_gap},
      {"load_ms", &Settings::load_ms},
      {"weight_store", &Settings::weight_store},
      {"checks_fencing", &Settings::checks_fencing},
      {"fail_orders", &Settings::fail_orders},
      {"crash_on_failed_order", &Settings::crash_on_failed_order},
      {"lose_order_answers", &Settings::lose_order_answers},
      {"crash_marker", &Settings::crash_marker},
      {"truncate_answers", &Settings::truncate_answers},
      {"cut_answers", &Settings::cut_answers},
      {"cross_answers", &Settings::cross_answers},
  };
  return kFields;
}

}  // namespace carobbank
