// One piece of work while it runs: the request to the backend server, and the
// passing on of its answer, chunk by chunk and with back-pressure.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "Sidecar/answer_inspector.h"
#include "Sidecar/backend.h"
#include "Sidecar/work_response_writer.h"

namespace carobbank {

enum class WorkStreamOutcome {
  // The whole answer was passed on.
  kComplete,
  // No byte reached the backend server.
  kUnreachable,
  // The connection broke after the request was sent; `problem` is to be
  // decided by a probe.
  kBroken,
  // The answer broke a rule, or the work was stopped; the reply has ended.
  kStopped,
};

struct WorkStreamHandlers {
  // Tokens were passed on; the version of the last one.
  std::function<void(std::uint32_t tokens,
                     std::optional<std::uint64_t> version)>
      on_tokens;
  // Called once, last. `problem` is set unless the answer is whole.
  std::function<void(WorkStreamOutcome outcome, std::optional<Problem> problem)>
      on_end;
};

class WorkStream : public std::enable_shared_from_this<WorkStream> {
 public:
  WorkStream(Backend& backend,
             std::shared_ptr<const WorkRequest> work,
             std::shared_ptr<WorkResponseWriter> response,
             WorkStreamHandlers handlers);

  void Begin();
  // Ends the work at the backend server, and the answer with `problem`.
  void Stop(const Problem& problem);

  // Call now and then: ends a model's stream whose connection has gone silent,
  // so that comments don't keep a dead answer alive for ever.
  void CheckTimeouts(MonotonicTime now);

  const WorkRequest& Work() const { return *this->work; }

 private:
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnBody(std::string_view bytes);
  void ForwardInspected(std::string_view bytes);
  void ForwardBytes(std::string_view bytes);
  void OnDone();
  void OnFailure(const HttpClientFailure& failure);
  void End(WorkStreamOutcome outcome, std::optional<Problem> problem);

  Backend& backend;
  std::shared_ptr<const WorkRequest> work;
  std::shared_ptr<WorkResponseWriter> response;
  WorkStreamHandlers handlers;
  // Set for answers that are events of a model.
  std::optional<AnswerInspector> inspector;
  std::unique_ptr<HttpExchange> exchange;
  int status = 0;
  HttpHeaders response_headers;
  // An answer that has no body, and is sent whole at its end.
  bool bodiless = false;
  bool paused = false;
  bool ended = false;
  // Bytes came, or the entry held them back, since the last CheckTimeouts().
  bool progressed = true;
  bool has_token = false;
  // As CheckTimeouts() saw it.
  MonotonicTime last_progress;
};

}  // namespace carobbank
