// Problem::FromText: an accepted problem survives writing and parsing again.

#include "LibHTTP/http.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  constexpr int kStatus = 503;
  const auto problem = Problem::FromText(kStatus, FuzzText(bytes, size));
  if (problem) {
    const HttpResponse response = problem->ToResponse();
    const auto reparsed = Problem::FromText(kStatus, response.body);
    FuzzRequire(reparsed && reparsed->execution == problem->execution,
                "a problem retains whether the request ran");
    FuzzRequire(reparsed->ToJson() == problem->ToJson(),
                "a problem survives writing and parsing");
  }
  return 0;
}
