// Writes a generation's tokens to the HTTP response: as a stream of server-sent
// events, or as one JSON document.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "StandIns/generation.h"

namespace carobbank {

class CompletionWriter {
 public:
  virtual ~CompletionWriter() = default;
  // Adds one token, generated with weight version `version`.
  virtual void WriteToken(const EngineGeneration& generation,
                          std::uint64_t token,
                          std::uint64_t version) = 0;
  // Ends a complete response; its finish reason is "stop" or "length".
  virtual void Complete(const EngineGeneration& generation) = 0;
  // Ends the response of a cancelled generation. A streaming caller keeps the
  // tokens it has received.
  virtual void Cancel(const EngineGeneration& generation) = 0;
  // Ends the HTTP response normally although tokens are missing.
  virtual void Truncate(const EngineGeneration& generation) = 0;
  // Closes the connection immediately.
  virtual void Abort() = 0;
};

// `chunk_tokens`: maximum number of tokens in a chunk. A chunk has tokens of a
// single weight version.
std::shared_ptr<CompletionWriter> CreateStreamWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model,
    std::uint64_t chunk_tokens);

std::shared_ptr<CompletionWriter> CreateNonStreamingWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model);

}  // namespace carobbank
