// Timeline pages as operators receive them: events survive parsing, writing and
// merging.

#include "LibOperator/operator.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  const auto page = Capture([&]() -> Result<TimelinePage> {
    BOOST_LEAF_AUTO(value, ParseJson(FuzzText(bytes, size)));
    return TimelinePageFromJson(value);
  });
  if (!page.Ok()) {
    return 0;
  }
  const auto reparsed = Capture(
      [&] { return TimelinePageFromJson(TimelinePageToJson(page.Value())); });
  FuzzRequire(reparsed.Ok() && reparsed.Value().events == page.Value().events,
              "events survive writing");
  const std::vector<Event> merged = MergeEvents(page.Value().events, {});
  FuzzRequire(merged.size() == page.Value().events.size(),
              "merging loses no event");
  static_cast<void>(WriteJson(ChromeTrace(merged)));
  static_cast<void>(TimelineText(merged));
  return 0;
}
