// The two forms of a completion's answer.

#include "StandIns/answer_writer.h"

#include <utility>

#include "StandIns/token_model.h"

namespace carobbank {

namespace {

Json::Value Usage(const Generation& generation) {
  Json::Value usage;
  usage["prompt_tokens"] = Json::UInt64{generation.prompt_tokens};
  usage["completion_tokens"] = Json::UInt64{generation.next_token};
  usage["cached_tokens"] = Json::UInt64{generation.cached_tokens};
  return usage;
}

Json::Value Choice(std::string text) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = std::move(text);
  choice["finish_reason"] = Json::Value();
  return choice;
}

class StreamWriter final : public AnswerWriter,
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

  void Token(const Generation& generation,
             std::uint64_t token,
             std::uint64_t version) override {
    const bool starts_chunk =
        this->chunk.to == this->chunk.from || this->chunk.version != version;
    if (starts_chunk) {
      this->EndChunk(generation, "");
      this->chunk = {token, token, version};
    }
    this->chunk_text += TokenText(token, version);
    this->chunk.to = token + 1;
    const std::uint64_t length = this->chunk.to - this->chunk.from;
    // The last token's chunk is ended by Complete(), which knows the reason.
    const bool is_last = this->chunk.to == generation.end_token;
    if (length >= this->chunk_tokens && !is_last) {
      this->EndChunk(generation, "");
    }
  }

  void Complete(const Generation& generation) override {
    this->EndChunk(generation, generation.finish_reason);
    this->Send(WriteServerSentEvent({"", "[DONE]"}));
    this->End();
  }

  void Cancelled(const Generation& generation) override {
    this->EndChunk(generation, "cancelled");
    this->End();
  }

  void Truncate(const Generation& generation) override {
    this->EndChunk(generation, "");
    this->End();
  }

  void Cut() override { this->responder->Abort(); }

 private:
  // Sends the chunk begun so far. One with a reason is sent even when empty.
  void EndChunk(const Generation& generation, std::string_view reason) {
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
    Json::Value choice = Choice(std::exchange(this->chunk_text, ""));
    if (!reason.empty()) {
      choice["finish_reason"] = std::string(reason);
      event["usage"] = Usage(generation);
    }
    event["choices"].append(std::move(choice));
    this->chunk.from = this->chunk.to;
    this->Send(WriteServerSentEvent({"", WriteJson(event)}));
  }

  void Send(const std::string& event) {
    this->unsent += event;
    this->WriteUnsent();
  }

  void End() {
    this->ending = true;
    this->WriteUnsent();
  }

  // One write at a time: what comes meanwhile goes with the next one.
  void WriteUnsent() {
    if (this->writing) {
      return;
    }
    if (this->unsent.empty()) {
      if (this->ending) {
        this->responder->Finish();
      }
      return;
    }
    this->writing = true;
    this->responder->Write(std::exchange(this->unsent, ""),
                           [self = this->shared_from_this()](bool written) {
                             self->writing = false;
                             if (written) {
                               self->WriteUnsent();
                             }
                           });
  }

  std::shared_ptr<HttpResponder> responder;
  const std::string model;
  const std::uint64_t chunk_tokens;
  // The chunk begun and not yet sent; empty when from equals to.
  TokenSpan chunk;
  std::string chunk_text;
  std::string unsent;
  bool writing = false;
  bool ending = false;
};

class WholeAnswerWriter final : public AnswerWriter {
 public:
  WholeAnswerWriter(std::shared_ptr<HttpResponder> responder, std::string model)
      : responder(std::move(responder)), model(std::move(model)) {}

  void Token(const Generation&,
             std::uint64_t token,
             std::uint64_t version) override {
    this->text += TokenText(token, version);
  }

  void Complete(const Generation& generation) override {
    this->responder->Send(JsonResponse(200, this->Body(generation)));
  }

  void Cancelled(const Generation&) override {
    Json::Value body;
    body["code"] = "cancelled";
    this->responder->Send(JsonResponse(409, body));
  }

  void Truncate(const Generation& generation) override {
    std::string body = WriteJson(this->Body(generation));
    body.resize(body.size() / 2);
    HttpResponse response;
    SetHeader(response.headers, "Content-Type", "application/json");
    response.body = std::move(body);
    this->responder->Send(std::move(response));
  }

  void Cut() override { this->responder->Abort(); }

 private:
  Json::Value Body(const Generation& generation) {
    Json::Value body;
    body["id"] = generation.attempt_id;
    body["object"] = "text_completion";
    body["model"] = this->model;
    body["spans"] = SpansToJson(generation.spans);
    body["usage"] = Usage(generation);
    Json::Value choice = Choice(this->text);
    choice["finish_reason"] = std::string(generation.finish_reason);
    body["choices"].append(std::move(choice));
    return body;
  }

  std::shared_ptr<HttpResponder> responder;
  const std::string model;
  std::string text;
};

}  // namespace

std::shared_ptr<AnswerWriter> CreateStreamWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model,
    std::uint64_t chunk_tokens) {
  return std::make_shared<StreamWriter>(std::move(responder), std::move(model),
                                        chunk_tokens);
}

std::shared_ptr<AnswerWriter> CreateWholeAnswerWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model) {
  return std::make_shared<WholeAnswerWriter>(std::move(responder),
                                             std::move(model));
}

}  // namespace carobbank
