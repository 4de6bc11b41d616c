// ParseEntrySettings and ParseSidecarSettings on the same text.

#include "LibContract/contract.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const std::string_view text = FuzzText(bytes, size);
  const bool entry = ParseEntrySettings("f", text).Ok();
  const bool sidecar = ParseSidecarSettings("f", text).Ok();
  FuzzRequire(!entry || !sidecar, "no text is valid for both programs");
  return 0;
}
