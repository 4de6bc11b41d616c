// One live or background model call: POST /v1/completions.

#pragma once

#include <memory>
#include <string>

#include "call_environment.h"

namespace carobbank {

class CompletionCall : public std::enable_shared_from_this<CompletionCall> {
 public:
  // Responds through `responder`, during the call or later.
  static void Begin(CallEnvironment& environment,
                    const HttpRequest& request,
                    std::shared_ptr<HttpResponder> responder);

  CompletionCall(CallEnvironment& environment,
                 AuthenticatedCall call,
                 std::shared_ptr<HttpResponder> responder);

 private:
  void Start(GenerationRequest request, bool stream);
  void OnChunk(const GenerationChunk& chunk);
  void OnDone(const GenerationOutput& output);
  void OnFailure(const Problem& problem);
  void WriteEvent(const ServerSentEvent& event);
  void OnWritten(bool ok);
  void SendComplete(const GenerationOutput& output);
  void End(EventKind kind, std::string detail, std::int64_t number);
  void Record(EventKind kind,
              std::string attempt,
              std::string server,
              std::string detail,
              std::int64_t number);

  CallEnvironment& environment;
  AuthenticatedCall call;
  std::shared_ptr<HttpResponder> responder;
  std::unique_ptr<Generation> generation;
  std::string request_id;
  std::string model;
  bool stream = false;
  bool started = false;
  bool ended = false;
  // Chunks passed to the responder and not yet written to the caller.
  std::size_t unwritten = 0;
  MonotonicTime began{};
};

}  // namespace carobbank
