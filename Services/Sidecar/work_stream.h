// A running request: sends it to the backend server, and forwards the response
// chunk by chunk with backpressure.

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
  // The complete response was forwarded.
  kComplete,
  // No byte of the request reached the backend server.
  kUnreachable,
  // The connection broke, or the response was truncated, after the request was
  // sent. A probe has to tell a crash from `problem`; the response is still
  // open.
  kBroken,
  // The response was invalid, or Stop() was called; the response has ended.
  kStopped,
};

struct WorkStreamHandlers {
  // Called after tokens were forwarded. `version`: weight version of the last
  // one.
  std::function<void(std::uint32_t tokens,
                     std::optional<std::uint64_t> version)>
      on_tokens;
  // Called once, as the last handler. `problem` is set unless the outcome is
  // kComplete.
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
  // Cancels the request at the backend server, and ends the response with
  // `problem`.
  void Stop(const Problem& problem);

  // To be called periodically. Ends a model's stream that has received no data
  // for too long, so that keep-alive comments don't hold it open forever, and a
  // response that is not streamed after its deadline.
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
  // Set for responses that are event streams of a model.
  std::optional<AnswerInspector> inspector;
  std::unique_ptr<HttpExchange> exchange;
  int status = 0;
  HttpHeaders response_headers;
  // The response has no body, and is sent when the exchange is done.
  bool bodiless = false;
  bool paused = false;
  bool ended = false;
  // Bytes arrived since the last CheckTimeouts().
  bool progressed = true;
  bool has_token = false;
  // When CheckTimeouts() last found progress, or a stream paused by the entry's
  // backpressure.
  MonotonicTime last_progress;
};

}  // namespace carobbank
