// All metrics that entries and sidecars record. A test compares them with
// docs/OPERATORS.md.

#pragma once

#include <array>

#include "LibTimeline/metric_definition.h"

namespace carobbank {

namespace metrics {

inline constexpr MetricDefinition kRequests{
    "carobbank_requests_total", MetricType::kCounter, "service,class",
    "Requests admitted"};
inline constexpr MetricDefinition kRefusals{
    "carobbank_refusals_total", MetricType::kCounter, "service,code,execution",
    "Requests refused, by problem code"};
inline constexpr MetricDefinition kAnswers{
    "carobbank_answers_total", MetricType::kCounter, "service,status",
    "Complete responses forwarded, by HTTP status"};
inline constexpr MetricDefinition kCutAnswers{
    "carobbank_cut_answers_total", MetricType::kCounter, "service",
    "Responses that ended in an explicit error after their first byte"};
inline constexpr MetricDefinition kAttempts{
    "carobbank_attempts_total", MetricType::kCounter, "service,outcome",
    "Attempts at a backend server, by outcome: answered, rejected (4xx), "
    "server_error (5xx), refused, broken, unreachable, cancelled"};
inline constexpr MetricDefinition kRetries{
    "carobbank_retries_total", MetricType::kCounter, "service",
    "Attempts after the first of a request"};
inline constexpr MetricDefinition kRetryBudgetExhausted{
    "carobbank_retry_budget_exhausted_total", MetricType::kCounter, "service",
    "Retries withheld because the retry budget was exhausted"};
inline constexpr MetricDefinition kInProgress{
    "carobbank_requests_in_progress", MetricType::kGauge, "service",
    "Requests admitted and not yet answered"};
inline constexpr MetricDefinition kRequestTime{
    "carobbank_request_seconds", MetricType::kTiming, "service",
    "Time from admission to the end of the response"};
inline constexpr MetricDefinition kFirstTokenTime{
    "carobbank_first_token_seconds", MetricType::kTiming, "service",
    "Time from admission to the first token"};
inline constexpr MetricDefinition kQueueTime{"carobbank_queue_seconds",
                                             MetricType::kTiming, "service",
                                             "Time in the sidecar's queue"};
inline constexpr MetricDefinition kQueueLength{
    "carobbank_queue_length", MetricType::kGauge, "service",
    "Attempts waiting in the sidecar's queue"};
inline constexpr MetricDefinition kServedTokens{
    "carobbank_served_tokens_total", MetricType::kCounter, "service,phase",
    "Tokens served; phase is prompt or generated"};
inline constexpr MetricDefinition kPreemptions{
    "carobbank_preemptions_total", MetricType::kCounter, "service",
    "Attempts preempted to free capacity for live work"};
inline constexpr MetricDefinition kSteps{
    "carobbank_steps_total", MetricType::kCounter, "service,outcome",
    "Training steps, by outcome: accepted, finished, failed"};
inline constexpr MetricDefinition kSamples{
    "carobbank_samples_total", MetricType::kCounter, "service,outcome",
    "Samples, by outcome: committed, duplicate, stale, delivered, failed"};
inline constexpr MetricDefinition kStepTime{
    "carobbank_step_seconds", MetricType::kTiming, "service",
    "Time from a step's acceptance to its last commit"};
inline constexpr MetricDefinition kSampleAge{
    "carobbank_sample_age_versions", MetricType::kGauge, "service",
    "Versions between the requested and the oldest generating one, last "
    "sample"};
inline constexpr MetricDefinition kDiscardedTokens{
    "carobbank_discarded_tokens_total", MetricType::kCounter, "service,reason",
    "Generated tokens that reached no caller, by reason"};
inline constexpr MetricDefinition kWeightVersion{
    "carobbank_weight_version", MetricType::kGauge, "model",
    "Weight version that the engine reports, or the newest announced"};
inline constexpr MetricDefinition kOrders{"carobbank_engine_orders_total",
                                          MetricType::kCounter, "outcome",
                                          "Orders to the engine, by outcome"};
inline constexpr MetricDefinition kLogAppends{
    "carobbank_log_appends_total", MetricType::kCounter, "stream,outcome",
    "Appends to the log, by outcome"};
inline constexpr MetricDefinition kLogAppendTime{
    "carobbank_log_append_seconds", MetricType::kTiming, "",
    "Duration of an append to the log"};
inline constexpr MetricDefinition kLogUnreachable{
    "carobbank_log_unreachable", MetricType::kGauge, "",
    "1 while the log can't be reached, else 0"};
inline constexpr MetricDefinition kCommitBuffer{
    "carobbank_commit_buffer_bytes", MetricType::kGauge, "",
    "Finished samples that wait to be appended to the log"};
inline constexpr MetricDefinition kConfigurationOffset{
    "carobbank_configuration_offset", MetricType::kGauge, "",
    "Offset of the configuration in force; -1 for none"};
inline constexpr MetricDefinition kConfigurationRefused{
    "carobbank_configuration_refused_total", MetricType::kCounter, "verdict",
    "Published documents that were refused, by verdict"};
inline constexpr MetricDefinition kKnownServers{
    "carobbank_known_servers", MetricType::kGauge, "pool,state",
    "Known backend servers, by state: live, leaving, suspect"};
inline constexpr MetricDefinition kLinksReplaced{
    "carobbank_links_replaced_total", MetricType::kCounter, "",
    "Connections replaced because they were unresponsive"};
inline constexpr MetricDefinition kQuarantined{"carobbank_quarantined_digests",
                                               MetricType::kGauge, "",
                                               "Quarantined request digests"};
inline constexpr MetricDefinition kServerCrashes{
    "carobbank_server_crashes_total", MetricType::kCounter, "service",
    "Crashes of backend servers that broke off requests of this process"};
inline constexpr MetricDefinition kSuspectAttempts{
    "carobbank_suspect_attempts_total", MetricType::kCounter, "service,outcome",
    "Attempts of requests that crashed servers before, by outcome as in "
    "carobbank_attempts_total"};
inline constexpr MetricDefinition kResponseLimits{
    "carobbank_response_limits_total", MetricType::kCounter, "limit",
    "Responses of servers, peers and the log that were ended at a limit: "
    "header, body, memory, framing, output"};
inline constexpr MetricDefinition kLeavingServers{
    "carobbank_leaving_servers_total", MetricType::kCounter, "service,source",
    "Backend servers that this process learned to be leaving, by source: "
    "response, entry"};
inline constexpr MetricDefinition kServerLimits{
    "carobbank_server_limit_requests_per_second", MetricType::kGauge, "service",
    "Sum of the limits that backend servers name in their responses, as known "
    "to this process"};
inline constexpr MetricDefinition kLimitedAttempts{
    "carobbank_limited_attempts_total", MetricType::kCounter, "service,kind",
    "Attempts at backend servers that name a limit, by kind: call, trial, "
    "sample_or_reward"};
inline constexpr MetricDefinition kHeldBack{
    "carobbank_held_back_total", MetricType::kCounter, "service,outcome",
    "Calls and permits held back by limits that backend servers name, by "
    "outcome: waited, refused, home_silent"};
inline constexpr MetricDefinition kResumedOutputs{
    "carobbank_resumed_outputs_total", MetricType::kCounter, "service,software",
    "Attempts that continue the output of an earlier attempt, by the server's "
    "software version: same as that of the server that began it, other"};
inline constexpr MetricDefinition kServerStartChecks{
    "carobbank_server_start_checks_total", MetricType::kCounter, "outcome",
    "Status reports requested to confirm that a server has not restarted, by "
    "outcome: reported, failed"};
inline constexpr MetricDefinition kSamplePlacements{
    "carobbank_sample_placements_total", MetricType::kCounter,
    "service,strategy",
    "Samples sent to a server, by the strategy that chose it: least_requests, "
    "expected_end"};
inline constexpr MetricDefinition kSampleMoves{
    "carobbank_sample_moves_total", MetricType::kCounter, "service",
    "Samples moved to another server because they are expected to end there "
    "earlier"};
inline constexpr MetricDefinition kDiscardedEvents{
    "carobbank_discarded_events_total", MetricType::kCounter, "reason",
    "Events of sample outputs that no server of their software version could "
    "continue"};
inline constexpr MetricDefinition kUnresolvedClaims{
    "carobbank_unresolved_claims", MetricType::kGauge, "service",
    "Claimed idempotency keys whose outcome is unknown"};
inline constexpr MetricDefinition kDraining{
    "carobbank_draining", MetricType::kGauge, "", "1 while draining, else 0"};
inline constexpr MetricDefinition kPeerProofRefused{
    "carobbank_peer_proof_refused_total", MetricType::kCounter, "",
    "Requests from peers whose proof was missing, wrong or stale"};
inline constexpr MetricDefinition kTimelineDropped{
    "carobbank_timeline_dropped_total", MetricType::kCounter, "",
    "Timeline events dropped from the full ring buffer"};

}  // namespace metrics

// Every definition above, in the order of docs/OPERATORS.md.
inline constexpr std::array kAllMetrics = {
    metrics::kRequests,
    metrics::kRefusals,
    metrics::kAnswers,
    metrics::kCutAnswers,
    metrics::kAttempts,
    metrics::kRetries,
    metrics::kRetryBudgetExhausted,
    metrics::kInProgress,
    metrics::kRequestTime,
    metrics::kFirstTokenTime,
    metrics::kQueueTime,
    metrics::kQueueLength,
    metrics::kServedTokens,
    metrics::kPreemptions,
    metrics::kSteps,
    metrics::kSamples,
    metrics::kStepTime,
    metrics::kSampleAge,
    metrics::kDiscardedTokens,
    metrics::kWeightVersion,
    metrics::kOrders,
    metrics::kLogAppends,
    metrics::kLogAppendTime,
    metrics::kLogUnreachable,
    metrics::kCommitBuffer,
    metrics::kConfigurationOffset,
    metrics::kConfigurationRefused,
    metrics::kKnownServers,
    metrics::kLinksReplaced,
    metrics::kQuarantined,
    metrics::kServerCrashes,
    metrics::kSuspectAttempts,
    metrics::kResponseLimits,
    metrics::kLeavingServers,
    metrics::kServerLimits,
    metrics::kLimitedAttempts,
    metrics::kHeldBack,
    metrics::kResumedOutputs,
    metrics::kServerStartChecks,
    metrics::kSamplePlacements,
    metrics::kSampleMoves,
    metrics::kDiscardedEvents,
    metrics::kUnresolvedClaims,
    metrics::kDraining,
    metrics::kPeerProofRefused,
    metrics::kTimelineDropped,
};

}  // namespace carobbank
