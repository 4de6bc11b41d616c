// ServerSentEventReader: the events don't depend on where the stream is split.

#include <utility>

#include "LibHTTP/http.h"
#include "fuzz_input.h"

namespace {

// The events as one text, and whether the reader rejected the stream.
std::pair<std::string, bool> ReadInPieces(std::string_view stream,
                                          std::size_t piece) {
  using namespace carobbank;
  constexpr std::size_t kMaximumEventBytes = 256;
  ServerSentEventReader reader(kMaximumEventBytes);
  std::string events;
  while (!stream.empty()) {
    const std::string_view bytes = stream.substr(0, piece);
    stream.remove_prefix(bytes.size());
    const auto read = Capture([&] { return reader.Feed(bytes); });
    if (!read.Ok()) {
      return {"", true};
    }
    for (const ServerSentEvent& event : read.Value()) {
      events += WriteServerSentEvent(event);
    }
  }
  return {events, false};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  const std::string_view text = carobbank::FuzzText(bytes, size);
  if (text.empty()) {
    return 0;
  }
  const std::size_t piece = 1 + static_cast<std::uint8_t>(text.front()) % 16;
  const std::string_view stream = text.substr(1);
  carobbank::FuzzRequire(
      ReadInPieces(stream, piece) == ReadInPieces(stream, stream.size() + 1),
      "the events don't depend on where the stream is split");
  return 0;
}
