// RequestRecordLog::Decode: accepted records of a peer survive encoding and
// decoding.

#include "Services/Gateway/request_record_log.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const std::string written =
      RequestRecordLog::Encode(RequestRecordLog::Decode(FuzzText(bytes, size)));
  FuzzRequire(
      RequestRecordLog::Encode(RequestRecordLog::Decode(written)) == written,
      "accepted records survive encoding");
  return 0;
}
