// Tests of HybridLogicalClock: timestamps keep the order of events when the
// machines' wall clocks stand still, run ahead or are far off.

#include "LibCore/core.h"
#include "Support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(HybridLogicalClock){};

TEST(HybridLogicalClock, TicksIncreaseWhileTheWallClockStands) {
  ManualClock clock;
  HybridLogicalClock hybrid(clock);
  const HybridTime first = hybrid.Tick();
  const HybridTime second = hybrid.Tick();
  CHECK_TRUE(first < second);
}

TEST(HybridLogicalClock, AReceiptIsAfterATimestampFromAFastClock) {
  ManualClock clock;
  HybridLogicalClock hybrid(clock);
  const HybridTime remote{clock.WallNow() + 5000, 3};
  CHECK_TRUE(hybrid.Observe(remote) > remote);
  CHECK_TRUE(hybrid.Tick() > remote);
}

TEST(HybridLogicalClock, IgnoresATimestampBeyondTheMaximumDrift) {
  ManualClock clock;
  HybridLogicalClock hybrid(clock);
  const WallMilliseconds drift = HybridLogicalClock::kMaximumDrift.count();
  const HybridTime before = hybrid.Tick();
  const HybridTime receipt = hybrid.Observe({clock.WallNow() + drift + 1, 0});
  CHECK_TRUE(receipt > before);
  CHECK_TRUE(receipt.wall_ms == clock.WallNow());
}

TEST(HybridLogicalClock, TextFormParsesBack) {
  const HybridTime time{1'800'000'000'123, 7};
  const auto parsed = Capture([&] { return HybridTime::Parse(time.Text()); });
  CHECK_TRUE(parsed.Ok());
  CHECK_TRUE(parsed.Value() == time);
  for (const char* wrong : {"", ".", "12", "12.", "12.x", "12.3 "}) {
    const auto failed = Capture([&] { return HybridTime::Parse(wrong); });
    CHECK_FALSE(failed.Ok());
  }
}

}  // namespace carobbank
