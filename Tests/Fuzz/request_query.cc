// HttpRequest::Query and HttpRequest::Path on arbitrary request targets.

#include "LibHTTP/http.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  HttpRequest request;
  request.target = FuzzText(bytes, size);
  const std::optional<std::string> value = request.Query("cursor");
  FuzzRequire(!value || value->size() < request.target.size(),
              "a decoded value is shorter than the target");
  FuzzRequire(request.Path().find('?') == std::string_view::npos,
              "the path ends before the query");
  return 0;
}
