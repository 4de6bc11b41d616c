// HybridTime::Parse: an accepted timestamp survives Text() and parsing.

#include "LibCore/core.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const std::string_view text = FuzzText(bytes, size);
  const auto parsed = Capture([&] { return HybridTime::Parse(text); });
  if (parsed.Ok()) {
    const std::string written = parsed.Value().Text();
    const auto reparsed = Capture([&] { return HybridTime::Parse(written); });
    FuzzRequire(reparsed.Ok() && reparsed.Value() == parsed.Value(),
                "a timestamp survives its own text");
  }
  return 0;
}
