// Properties of the parsers of external text, on mutated input: each parser
// returns a value or issues, and accepted values survive a round trip. Guards
// against crashes, endless loops and rejections without an issue.

#include <rapidcheck.h>

#include "LibContract/contract.h"
#include "LibContract/document_texts.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// A valid text with up to five spans removed, replaced or inserted.
std::string Mutated(std::string text) {
  static const std::vector<std::string> pieces = {
      "",     "\n", ": ",  "- ", "{",  "}",    "[",    "]",      "&a ",  "*a",
      "\"",   "'",  "!!x", "|",  "\t", "\xff", "-1",   "9e999",  ".inf", "null",
      "true", "<<", "---", "? ", "#",  "\\u0", "1e18", "0x7fff", "~",    ","};
  const int changes = *rc::gen::inRange(0, 6);
  for (int change = 0; change < changes; ++change) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto length = *rc::gen::inRange<std::size_t>(0, 12);
    text.replace(position, length, *rc::gen::elementOf(pieces));
  }
  return text;
}

}  // namespace

TEST_GROUP(ParserProperties){};

TEST(ParserProperties, MutatedDocumentsParseOrReportIssues) {
  CHECK_TRUE(rc::check("documents", [] {
    const auto checked =
        ParseServiceDocument("f", Mutated(DocumentText("s", "t")));
    if (!checked.Ok()) {
      for (const ValidationIssue& issue : checked.report.Issues()) {
        RC_ASSERT(!issue.problem.empty() && !issue.remedy.empty());
        RC_ASSERT(issue.line >= 1 && issue.column >= 1);
      }
      return;
    }
    const std::string canonical = CanonicalText(checked.value);
    const auto again = ParseServiceDocument("f", canonical);
    RC_ASSERT(again.Ok());
    RC_ASSERT(CanonicalText(again.value) == canonical);
  }));
}

TEST(ParserProperties, MutatedSettingsParseOrReportIssues) {
  CHECK_TRUE(rc::check("settings", [] {
    const auto entry = ParseEntrySettings("f", Mutated(EntryText()));
    RC_ASSERT(entry.Ok() || !entry.report.Text().empty());
    const auto sidecar = ParseSidecarSettings("f", Mutated(SidecarText()));
    RC_ASSERT(sidecar.Ok() || !sidecar.report.Text().empty());
  }));
}

TEST(ParserProperties, WrittenRecordsParseToTheSameEntries) {
  CHECK_TRUE(rc::check("records", [] {
    const auto text = rc::gen::string<std::string>();
    const PublishEntry publish{*text, *rc::gen::inRange<std::int64_t>(-1, 99),
                               *text, *text, *text};
    const SnapshotEntry snapshot{3, "d", {{"s", 2, "doc", "ana", "id"}}};
    const std::vector<ConfigurationEntry> entries = {publish, snapshot};
    const std::string payload = WriteConfigurationRecord(entries);
    const ConfigurationRecord read = ParseConfigurationRecord(payload);
    RC_ASSERT(read.entries == entries);
    const ConfigurationRecord broken =
        ParseConfigurationRecord(Mutated(payload));
    RC_ASSERT(broken.entries.size() + broken.malformed <= entries.size() + 1);
    ConfigurationFold fold;
    fold.Apply(0, 0, Mutated(payload));
    RC_ASSERT(fold.State()->offset == 0);
  }));
}

}  // namespace carobbank
