// How a generation's tokens reach its caller: as a stream of server-sent
// events, or as one whole answer.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "StandIns/generation.h"

namespace carobbank {

class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  // One token, generated with `version`.
  virtual void Token(const Generation& generation,
                     std::uint64_t token,
                     std::uint64_t version) = 0;
  // The answer is whole: "stop" or "length".
  virtual void Complete(const Generation& generation) = 0;
  // The generation was cancelled; the caller keeps what it has.
  virtual void Cancelled(const Generation& generation) = 0;
  // Ends the HTTP answer in good order although it isn't whole.
  virtual void Truncate(const Generation& generation) = 0;
  // Closes the connection at once.
  virtual void Cut() = 0;
};

// `chunk_tokens`: most tokens of one chunk; a chunk has one version only.
std::shared_ptr<AnswerWriter> CreateStreamWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model,
    std::uint64_t chunk_tokens);

std::shared_ptr<AnswerWriter> CreateWholeAnswerWriter(
    std::shared_ptr<HttpResponder> responder,
    std::string model);

}  // namespace carobbank
