// Streaming and non-streaming completion responses.

#include "StandIns/completion_writer.h"

#include <utility>

#include "StandIns/token_model.h"

namespace carobbank {

namespace {

Json::Value MakeUsage(const EngineGeneration& generation) {
  Json::Value usage;
  usage["prompt_tokens"] = Json::UInt64{generation.prompt_tokens};
  usage["completion_tokens"] = Json::UInt64{generation.next_token};
  usage["cached_tokens"] = Json::UInt64{generation.cached_tokens};
  return usage;
}

Json::Value MakeChoice(std::string text) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = std::move(text);
  choice["finish_reason"] = Json::Value();
  return choice;
}

class StreamWriter final : public CompletionWriter,
                           public std::enable_shared_from_this<StreamWriter> {
 public:
  StreamWriter(std::shared_ptr<HttpResponder> responder,
               std::string model,
               std::uint64_t chunk_tokens)
      : responder(std::move(responder)),
        model(std::move(model)),
        chunk_tokens(chunk_tokens) {
    HttpHeaders headers;
    SetHeader(headers, "Content-Type", "text/event-stream");
    SetHeader(headers, "Cache-Control", "no-store");
    this->responder->Start(200, std::move(headers));
  }

  void WriteToken(const EngineGeneration& generation,
                  std::uint64_t token,
                  std::uint64_t version) override {
    const bool starts_chunk =
        this->chunk.to == this->chunk.from || this->chunk.version != version;
    if (starts_chunk) {
      this->FlushChunk(generation, "");
      this->chunk = {token, token, version};
    }
    this->chunk_text += TokenText(token, version);
    this->chunk.to = token + 1;
    const std::uint64_t length = this->chunk.to - this->chunk.from;
    // Complete() flushes the last token's chunk with the finish reason.
    const bool is_last = this->chunk.to == generation.end_token;
    if (length >= this->chunk_tokens && !is_last) {
      this->FlushChunk(generation, "");
    }
  }

  void Complete(const EngineGeneration& generation) override {
    this->FlushChunk(generation, generation.finish_reason);
    this->Send(WriteServerSentEvent({"", "[DONE]"}));
    this->End();
  }

  void Cancel(const EngineGeneration& generation) override {
    this->FlushChunk(generation, "cancelled");
    this->End();
  }

  void Truncate(const EngineGeneration& generation) override {
    this->FlushChunk(generation, "");
    this->End();
  }

  void Abort() override { this->responder->Abort(); }

 private:
  // Sends the current chunk. An empty chunk is sent only when it has a finish
  // reason.
  void FlushChunk(const EngineGeneration& generation, std::string_view reason) {
    const bool is_empty = this->chunk.to == this->chunk.from;
    if (is_empty && reason.empty()) {
      return;
    }
    if (is_empty) {
      this->chunk.from = generation.next_token;
      this->chunk.to = generation.next_token;
      this->chunk.version = generation.engine_version;
    }
    Json::Value event;
    event["id"] = generation.attempt_id;
    event["object"] = "text_completion";
    event["model"] = this->model;
    event["weight_version"] = Json::UInt64{this->chunk.version};
    event["token_from"] = Json::UInt64{this->chunk.from};
    event["token_to"] = Json::UInt64{this->chunk.to};
    Json::Value choice = MakeChoice(std::exchange(this->chunk_text, ""));
    if (!reason.empty()) {
      choice["finish_reason"] = std::string(reason);
      event["usage"] = MakeUsage(generation);
    }
    event["choices"].append(std::move(choice));
    this->chunk.from = this->chunk.to;
    this->Send(WriteServerSentEvent({"", WriteJson(event)}));
  }

  void Send(const std::string& event) {
    this->pending += event;
    this->WritePending();
  }

  void End() {
    this->ending = true;
    this->WritePending();
  }

  // One write at a time: events that are added during a write go out with the
  // next one.
  void WritePending() {
    if (this->writing) {
      return;
    }
    if (this->pending.empty()) {
      if (this->ending) {
        this->responder->Finish();
      }
      return;
    }
    this->writing = true;
    this->responder->Write(std::exchange(this->pending, ""),
                           [self = this->shared_from_this()](bool written) {
                             self->writing = false;
                             if (written) {
                               self->WritePending();
                             }
                           });
  }

  std::shared_ptr<HttpResponder> responder;
  const std::string model;
  const std::uint64_t chunk_tokens;
  // The current, unsent chunk; empty when `from` equals `to`.
  EngineTokenSpan chunk;
  std::string chunk_text;
  std::string pending;
  bool writing = false;
  bool ending = false;
};

class NonStreamingWriter final : public CompletionWriter {
 public:
  NonStreamingWriter(std::shared_ptr<HttpResponder> responder,
                     std::string model)
      : responder(std::move(responder)), model(std::move(model)) {}

  void WriteToken(const EngineGeneration&,
                  std::uint64_t token,
                  std::uint64_t version) override {
    this->text += TokenText(token, version);
  }

  void Complete(const EngineGeneration& generation) override {
    this->responder->Send(JsonResponse(200, this->Body(generation)));
  }

  void Cancel(const EngineGeneration&) override {
    Json::Value body;
    body["code"] = "cancelled";
    this->responder->Send(JsonResponse(409, body));
  }

  void Truncate(const EngineGeneration& generation) override {
    std::string body = WriteJson(this->Body(generation));
    body.resize(body.size() / 2);
    HttpResponse response;
    SetHeader(response.headers, "Content-Type", "application/json");
    response.body = std::move(body);
    this->responder->Send(std::move(response));
  }

  void Abort() override { this->responder->Abort(); }

 private:
  Json::Value Body(const EngineGeneration& generation) {
    Json::Value body;
    body["id"] = generation.attempt_id;
    body["object"] = "text_completion";
    body["model"] = this->model;
    body["spans"] = SpansToJson(generation.spans);
    body["usage"] = MakeUsage(generation);
    Json::Value choice = MakeChoice(this->text);
    choice["finish_reason"] = std::string(generation.finish_reason);
    body["choices"].append(std::move(choice));
    return body;
  }

  std::shared_ptr<HttpResponder> responder;
  const std::string model;
  std::string text;
};

}  // namespace

std::shared_ptr<CompletionWriter> CreateStreamWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model,
    std::uint64_t chunk_tokens) {
  return std::make_shared<StreamWriter>(std::move(responder), std::move(model),
                                        chunk_tokens);
}

std::shared_ptr<CompletionWriter> CreateNonStreamingWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model) {
  return std::make_shared<NonStreamingWriter>(std::move(responder),
                                              std::move(model));
}

}  // namespace carobbank
