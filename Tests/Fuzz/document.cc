// ParseServiceDocument: an accepted document survives its canonical text, and a
// rejected one has findings.

#include "LibContract/contract.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const auto parsed = ParseServiceDocument("f", FuzzText(bytes, size));
  if (!parsed.Ok()) {
    FuzzRequire(!parsed.report.Text().empty(),
                "a rejected document has findings");
    return 0;
  }
  const std::string canonical = CanonicalText(parsed.value);
  const auto reparsed = ParseServiceDocument("f", canonical);
  FuzzRequire(reparsed.Ok(), "the canonical text is valid");
  FuzzRequire(CanonicalText(reparsed.value) == canonical,
              "the canonical text is stable");
  return 0;
}
