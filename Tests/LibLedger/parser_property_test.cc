// Properties of the parsers of outside input in LibLedger: records of every
// stream, positions and cursors. They guard against malformed input that
// throws, stops a fold or is read as another valid value.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// Payloads of every kind of entry.
std::vector<std::string> ValidPayloads() {
  const StepId step{"r1", {3, 1}};
  const IdempotencyKey key{"dispatch-app", "slot"};
  StepSnapshotEntry snapshot;
  snapshot.request_id = "r1";
  snapshot.accepted_at = step.accepted_at;
  snapshot.carry_id = "copy";
  snapshot.accept = MakeAccept("r1");
  snapshot.results = {MakeCommit(step, "g0/0", "a"),
                      FailEntry{"r1", step.accepted_at, "g0/1", "quarantined"}};
  const std::vector<std::string> entries = {
      EncodeRolloutEntry(MakeAccept("r1")),
      EncodeRolloutEntry(
          StepTakeoverEntry{"r1", step.accepted_at, "entry-1", 2}),
      EncodeRolloutEntry(MakeCommit(step, "g0/0", "a")),
      EncodeRolloutEntry(FailEntry{"r1", step.accepted_at, "g0/1", "x"}),
      EncodeRolloutEntry(EndEntry{"r1", step.accepted_at, "delivered"}),
      EncodeRolloutEntry(snapshot),
      EncodeKeyEntry(ClaimEntry{key, "a", 1, 2, "digest"}),
      EncodeKeyEntry(ReleaseEntry{key, "a"}),
      EncodeKeyEntry(DoneEntry{key, "a", MakeStoredOutcome(200, "t", "b")}),
      EncodeServerEntry(SidecarStartEntry{"server-1", 4}),
      EncodeServerEntry(CrashEntry{"server-1", 4, {"d1", "d2"}, true}),
      EncodeServerEntry(QuarantineEntry{"d1"}),
      EncodeAnnounceEntry(AnnounceEntry{"policy-llm", 9}),
  };
  std::vector<std::string> payloads{EncodeRecord(entries)};
  for (const std::string& entry : entries) {
    payloads.push_back(EncodeRecord(std::vector{entry}));
  }
  return payloads;
}

struct Decoded {
  std::size_t entries = 0;
  std::size_t skipped = 0;
};

template <typename Entry>
void Count(const DecodedRecord<Entry>& record, Decoded& decoded) {
  decoded.entries += record.entries.size();
  decoded.skipped += record.skipped;
}

// Decodes the payload with the decoder of every stream.
Decoded DecodeAll(std::string_view payload) {
  const StreamRecord record{5, 1000, payload};
  Decoded decoded;
  Count(DecodeRolloutRecord(record), decoded);
  Count(DecodeKeyRecord(record), decoded);
  Count(DecodeServerRecord(record), decoded);
  Count(DecodeVersionRecord(record), decoded);
  return decoded;
}

// Replaces, deletes, duplicates or inserts a few characters.
std::string Mutate(std::string text, const std::vector<std::uint32_t>& edits) {
  for (std::uint32_t edit : edits) {
    if (text.empty()) {
      break;
    }
    const std::size_t position = edit / 8 % text.size();
    const char character = static_cast<char>(edit >> 20);
    switch (edit % 4) {
      case 0:
        text[position] = character;
        break;
      case 1:
        text.erase(position, 1 + edit / 1024 % 16);
        break;
      case 2:
        text.insert(position, text.substr(position, 1 + edit / 1024 % 16));
        break;
      default:
        text.insert(position, 1, character);
        break;
    }
  }
  return text;
}

rc::Gen<std::vector<std::uint32_t>> Edits() {
  return rc::gen::nonEmpty(
      rc::gen::resize(8, rc::gen::container<std::vector<std::uint32_t>>(
                             rc::gen::arbitrary<std::uint32_t>())));
}

}  // namespace

TEST_GROUP(Parsers){};

TEST(Parsers, EveryEntryIsDecodedByItsOwnStreamOnly) {
  for (const std::string& payload : ValidPayloads()) {
    const Decoded decoded = DecodeAll(payload);
    CHECK_EQUAL(3 * decoded.entries, decoded.skipped);
    // Decoding and encoding again gives the same text.
    std::vector<std::string> again;
    for (auto& entry : DecodeRolloutRecord({5, 0, payload}).entries) {
      again.push_back(EncodeRolloutEntry(entry.entry));
    }
    for (auto& entry : DecodeKeyRecord({5, 0, payload}).entries) {
      again.push_back(EncodeKeyEntry(entry.entry));
    }
    for (auto& entry : DecodeServerRecord({5, 0, payload}).entries) {
      again.push_back(EncodeServerEntry(entry.entry));
    }
    for (auto& entry : DecodeVersionRecord({5, 0, payload}).entries) {
      again.push_back(EncodeAnnounceEntry(entry.entry));
    }
    STRCMP_EQUAL(payload.c_str(), EncodeRecord(again).c_str());
  }
}

TEST(Parsers, MalformedPayloadsAreSkippedAndCounted) {
  for (const char* payload :
       {"", "null", "[]", "{}", "{\"entries\":{}}", "{\"entries\":[}",
        "{\"entries\":[]} x", "\xff\xfe"}) {
    const Decoded decoded = DecodeAll(payload);
    CHECK_EQUAL(0, decoded.entries);
    // Once by each stream's decoder.
    CHECK_EQUAL(4, decoded.skipped);
  }
  const DecodedRecord<KeyEntry> mixed = DecodeKeyRecord(
      {5, 0,
       "{\"entries\":[7,{\"kind\":\"release\",\"service\":\"s\",\"key\":\"k\","
       "\"attempt\":\"a\"},{\"kind\":\"release\"}]}"});
  LONGS_EQUAL(1, mixed.entries.size());
  LONGS_EQUAL(2, mixed.skipped);
  // A skipped entry still counts for the index of the next one.
  CHECK_TRUE((mixed.entries[0].position == LogPosition{5, 1}));
}

TEST(Parsers, MutatedRecordsNeverThrow) {
  const std::vector<std::string> payloads = ValidPayloads();
  CHECK_TRUE(rc::check("any damage ends in skipped entries", [&] {
    const auto which = *rc::gen::inRange<std::size_t>(0, payloads.size());
    const std::string damaged = Mutate(payloads[which], *Edits());
    DecodeAll(damaged);
    // Folds accept every record and apply the entries that can be decoded.
    RolloutFold rollouts{RolloutFoldOptions(), 0};
    KeyFold keys{KeyFoldOptions(), 0};
    RC_ASSERT(rollouts.Apply({0, 1000, payloads[1]}));
    RC_ASSERT(rollouts.Apply({1, 1000, damaged}));
    RC_ASSERT(keys.Apply({0, 1000, damaged}));
  }));
  CHECK_TRUE(rc::check("any bytes end in skipped entries", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(DecodeAll(text).entries == 0U);
  }));
}

TEST(Parsers, DamagedCursorIsNeverAccepted) {
  CHECK_TRUE(rc::check("a cursor reads back or is refused", [] {
    const Cursor cursor{
        *rc::gen::nonEmpty<std::string>(
            rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 'z'))),
        "r/1",
        {*rc::gen::arbitrary<std::uint64_t>(), 3},
        *rc::gen::arbitrary<std::uint64_t>(),
        *rc::gen::arbitrary<std::uint64_t>()};
    const std::string text = cursor.Text();
    const auto same = Capture([&] { return Cursor::Parse(text); });
    RC_ASSERT(same.Ok());
    RC_ASSERT(same.Value() == cursor);
    const std::string damaged = Mutate(text, *Edits());
    const auto parsed = Capture([&] { return Cursor::Parse(damaged); });
    RC_ASSERT(parsed.Ok() == (damaged == text));
    if (!parsed.Ok()) {
      RC_ASSERT(parsed.GetError().kind == ErrorKind::kInvalidArgument);
    }
  }));
  for (const std::string& text :
       {std::string(), std::string("c1."), std::string("c1.zz.0"),
        std::string("c2.7b7d.0"), std::string(5000, 'c')}) {
    CHECK_FALSE(Capture([&] { return Cursor::Parse(text); }).Ok());
  }
}

TEST(Parsers, PositionsHaveOneForm) {
  for (const char* text :
       {"", ".", "1", "1.", ".1", "-1.0", "+1.0", "01.0", "1.00", "1.0 ",
        "1.0.0", "1.4294967296", "18446744073709551616.0"}) {
    CHECK_FALSE(Capture([&] { return LogPosition::Parse(text); }).Ok());
  }
  const LogPosition largest{UINT64_MAX, UINT32_MAX};
  const auto parsed =
      Capture([&] { return LogPosition::Parse(largest.Text()); });
  CHECK_TRUE(parsed.Value() == largest);
}

}  // namespace carobbank
