// ParseJson: accepted JSON survives writing and parsing again.

#include "LibCore/core.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const std::string_view text = FuzzText(bytes, size);
  const auto parsed = Capture([&] { return ParseJson(text); });
  if (parsed.Ok()) {
    const std::string written = WriteJson(parsed.Value());
    const auto reparsed = Capture([&] { return ParseJson(written); });
    FuzzRequire(reparsed.Ok(), "written JSON can be parsed");
    FuzzRequire(WriteJson(reparsed.Value()) == written, "writing is stable");
  }
  return 0;
}
