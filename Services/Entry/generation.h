// Generates the output of one request over as many attempts as needed: after a
// failed stream, the next attempt resumes at another server behind the last
// token received.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibLedger/ledger.h"
#include "attempt.h"
#include "generation_chunk.h"
#include "retry_controller.h"
#include "server_selector.h"

namespace carobbank {

struct GenerationRequest {
  std::string service;
  std::string pool;
  std::string model;
  RouteClass service_class = RouteClass::kLive;
  std::string request_id;
  // Empty for live calls. A sample is owed; see LibRouting/owed_work.h.
  std::string sample_id;
  // Crashes of servers that ran the sample before.
  std::size_t crashes = 0;
  // Id of the first attempt; empty for a random one. Later attempts get random
  // ids.
  std::string attempt_id;
  std::string prompt;
  std::uint64_t max_tokens = 0;
  std::uint64_t seed = 0;
  VersionRange versions;
  // No attempt begins after this time.
  WallMilliseconds deadline_ms = 0;
  std::uint64_t expected_tokens = 0;
  Milliseconds slack{0};
  bool duplicate = false;
  std::uint64_t configuration_offset = 0;
};

// The output received so far. Invariant: the spans cover [0, tokens) without
// gap or overlap, and `text` is the text of exactly these tokens.
struct GenerationOutput {
  std::string text;
  std::uint64_t tokens = 0;
  std::vector<TokenSpan> spans;
  std::string finish_reason;
  TokenUsage usage;

  void Append(const GenerationChunk& chunk);
};

struct GenerationHandlers {
  // Receives each token once and in order.
  std::function<void(const GenerationChunk& chunk)> on_chunk;
  std::function<void(const GenerationOutput& output)> on_done;
  // Final: no further attempt follows.
  std::function<void(const Problem& problem)> on_failure;
  // For the timeline: an attempt begins at `target`.
  std::function<void(const WorkMetadata& metadata, const AttemptTarget& target)>
      on_attempt;
  // For the timeline: an attempt failed and is to be retried.
  std::function<void(const AttemptTarget& target, const Problem& problem)>
      on_retry;
};

// Shared by all generations of an entry.
struct GenerationEnvironment {
  EventLoop& loop;
  const Clock& clock;
  Random& random;
  AttemptSender& sender;
  ServerSelector& selector;
  RetryController& retries;
};

class Generation {
 public:
  Generation(GenerationEnvironment& environment,
             GenerationRequest request,
             GenerationHandlers handlers);
  // Cancels the running attempt.
  ~Generation();
  Generation(const Generation&) = delete;
  Generation& operator=(const Generation&) = delete;

  // Resumes after `partial`, which an earlier generation of the same request
  // produced within the same version range.
  void Start(GenerationOutput partial = {});
  // Cancels the running attempt and any retry; no handler is called afterwards.
  void Stop();
  // Backpressure from the consumer of the chunks.
  void Pause();
  void Resume();

  const GenerationOutput& Output() const { return this->output; }
  const GenerationRequest& Request() const { return this->request; }
  // Crashes of servers that ran the sample, earlier ones included.
  std::size_t Crashes() const { return this->request.crashes; }

 private:
  void BeginAttempt();
  WorkMetadata MakeMetadata() const;
  HttpRequest MakeRequest() const;
  void OnBody(std::string_view bytes);
  void OnEvent(const GenerationEvent& event);
  void OnChunk(const GenerationChunk& chunk);
  // Nothing when the chunk continues the output correctly.
  std::optional<Problem> CheckChunk(const GenerationChunk& chunk) const;
  void OnResponseEnd();
  void EndAttempt(AttemptOutcome outcome);
  void FailAttempt(const AttemptFailure& failure);
  bool IsOwed() const { return !this->request.sample_id.empty(); }
  void OnCrash();
  void BeginAttemptAfter(Milliseconds delay);
  // `least_delay`: of the next attempt.
  void RetryOrFail(const Problem& problem,
                   Milliseconds least_delay = Milliseconds(0));
  void Fail(const Problem& problem);

  GenerationEnvironment& environment;
  GenerationRequest request;
  GenerationHandlers handlers;
  // Empty for a sample, under which no crash is held against a request.
  std::string digest;
  GenerationOutput output;

  // State of the running attempt.
  std::string attempt_id;
  AttemptTarget target;
  std::unique_ptr<HttpExchange> exchange;
  ServerSentEventReader reader;
  // Invariant: true exactly between selector.OnStarted and OnEnded.
  bool attempt_open = false;
  bool end_received = false;
  bool exclusive = false;
  int status = 0;
  std::string refusal_body;

  std::uint32_t attempts = 0;
  std::uint32_t failures_in_row = 0;
  std::vector<std::string> excluded;
  std::unique_ptr<Timer> retry_timer;
  bool paused = false;
  bool finished = false;
  // Expires with this object, so that callbacks can detect its destruction.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// The digest under which a prompt is quarantined.
std::string DigestOfPrompt(std::string_view model, std::string_view prompt);

}  // namespace carobbank
