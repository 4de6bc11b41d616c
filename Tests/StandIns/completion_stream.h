// Parses a streamed completion and checks each chunk's label (token range and
// weight version) against the chunk's token texts.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibHTTP/http.h"
#include "StandIns/generation.h"
#include "StandIns/token_model.h"

namespace carobbank {

struct CompletionStream {
  std::string text;
  // From the chunks' labels; adjacent chunks of one version are merged.
  std::vector<EngineTokenSpan> spans;
  // From the last chunk; empty when no chunk had one.
  std::string finish_reason;
  std::uint64_t completion_tokens = 0;
  std::string id;
  bool is_done = false;
  // Whether each chunk has exactly the tokens of its label.
  bool labels_match_tokens = true;
};

inline std::string ExpectedText(const EngineTokenSpan& span) {
  std::string text;
  for (std::uint64_t token = span.from; token < span.to; ++token) {
    text += TokenText(token, span.version);
  }
  return text;
}

inline void ReadChunk(const Json::Value& chunk, CompletionStream& stream) {
  const EngineTokenSpan span{chunk["token_from"].asUInt64(),
                             chunk["token_to"].asUInt64(),
                             chunk["weight_version"].asUInt64()};
  const Json::Value& choice = chunk["choices"][0];
  const std::string text = choice["text"].asString();
  stream.labels_match_tokens &= text == ExpectedText(span);
  stream.text += text;
  stream.id = chunk["id"].asString();
  const bool continues =
      !stream.spans.empty() && stream.spans.back().version == span.version;
  if (continues) {
    stream.labels_match_tokens &= stream.spans.back().to == span.from;
    stream.spans.back().to = span.to;
  } else {
    stream.spans.push_back(span);
  }
  if (choice["finish_reason"].isString()) {
    stream.finish_reason = choice["finish_reason"].asString();
    stream.completion_tokens = chunk["usage"]["completion_tokens"].asUInt64();
  }
}

inline CompletionStream ReadCompletionStream(std::string_view body) {
  CompletionStream stream;
  ServerSentEventReader reader;
  const auto events = Capture([&] { return reader.Feed(body); });
  for (const ServerSentEvent& event : events.Value()) {
    if (event.data == "[DONE]") {
      stream.is_done = true;
      continue;
    }
    ReadChunk(Capture([&] { return ParseJson(event.data); }).Value(), stream);
  }
  return stream;
}

}  // namespace carobbank
