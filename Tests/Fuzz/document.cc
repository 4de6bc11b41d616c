// ParseServiceDocument: what it takes survives its canonical text.

#include "LibContract/contract.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const auto checked = ParseServiceDocument("f", FuzzText(bytes, size));
  if (!checked.Ok()) {
    FuzzRequire(!checked.report.Text().empty(), "a refusal has findings");
    return 0;
  }
  const std::string canonical = CanonicalText(checked.value);
  const auto again = ParseServiceDocument("f", canonical);
  FuzzRequire(again.Ok(), "the canonical text is valid");
  FuzzRequire(CanonicalText(again.value) == canonical,
              "the canonical text is stable");
  return 0;
}
