// Problem::FromText: what it takes survives writing and reading again.

#include "LibHTTP/http.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  constexpr int kStatus = 503;
  const auto problem = Problem::FromText(kStatus, FuzzText(bytes, size));
  if (problem) {
    const HttpResponse response = problem->ToResponse();
    const auto again = Problem::FromText(kStatus, response.body);
    FuzzRequire(again && again->execution == problem->execution,
                "a problem keeps whether the request ran");
    FuzzRequire(again->ToJson() == problem->ToJson(), "a problem survives");
  }
  return 0;
}
