// Tests of the validation of documents and settings: every invalid field is
// reported at its position, with a remedy, and all in one report.

#include <algorithm>
#include <fstream>

#include "LibContract/contract.h"
#include "LibContract/document_texts.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

struct Fault {
  // The part of the valid text that `to` replaces.
  std::string_view from;
  std::string to;
  std::string_view key;
  int line;
  int column;
  // A substring of the problem text.
  std::string_view problem;
};

template <typename T>
void CheckFaults(std::span<const Fault> faults,
                 const std::string& valid,
                 ValidationResult<T> (*parse)(std::string_view,
                                              std::string_view)) {
  CHECK_TRUE(parse("f.yaml", valid).Ok());
  for (const Fault& fault : faults) {
    const auto result = parse("f.yaml", Replaced(valid, fault.from, fault.to));
    const std::string& label = fault.to;
    CHECK_FALSE_TEXT(result.Ok(), label.c_str());
    const ValidationIssue& issue = result.report.Issues().front();
    STRCMP_EQUAL_TEXT(std::string(fault.key).c_str(), issue.key.c_str(),
                      label.c_str());
    LONGS_EQUAL_TEXT(fault.line, issue.line, label.c_str());
    LONGS_EQUAL_TEXT(fault.column, issue.column, label.c_str());
    STRCMP_CONTAINS_TEXT(std::string(fault.problem).c_str(),
                         issue.problem.c_str(), label.c_str());
    CHECK_FALSE_TEXT(issue.remedy.empty(), label.c_str());
    STRCMP_EQUAL("f.yaml", issue.file.c_str());
  }
}

}  // namespace

TEST_GROUP(Validation){};

TEST(Validation, ReportsKeyAndPositionOfDocumentFaults) {
  const std::vector<Fault> faults = {
      {"share: 100", "shares: 100", "shares", 7, 1, "unknown key"},
      {"share: 100", "share: 0", "share", 7, 8, "out of range: 0"},
      {"share: 100", "share: '100'", "share", 7, 8, "expected a whole number"},
      {"share: 100", "share: 1e2", "share", 7, 8, "expected a whole number"},
      {"share: 100", "share: 99999999999999999999", "share", 7, 8, "expected"},
      {"share: 100", "share:", "share", 7, 1, "has no value"},
      {"share: 100", "share: 5\nshare: 6", "share", 8, 1, "given twice"},
      {"share: 100", "limits: 5", "limits", 7, 9, "expected a map"},
      {"share: 100", "limits: {body_bytes: 0}", "limits.body_bytes", 7, 22,
       "out of range"},
      {"share: 100", "retry: {budget_ratio: .nan}", "retry.budget_ratio", 7, 23,
       "expected a number"},
      {"share: 100", "retry: {backoff_ms: 9, max_backoff_ms: 8}",
       "retry.max_backoff_ms", 7, 40, "below retry.backoff_ms"},
      {"share: 100", "versions: {pinned: 3, minimum: 4}", "versions.pinned", 7,
       20, "below versions.minimum"},
      {"share: 100", "quiet: yes", "quiet", 7, 8, "expected true or false"},
      {"share: 100", "swap: never", "swap", 7, 7,
       "expected one of wait, interrupt, rolling"},
      {"share: 100", "idempotency: {repeatable: [{method: get}]}",
       "idempotency.repeatable[0].method", 7, 37, "not an acceptable value"},
      {"class: training", "class: urgent", "class", 6, 8, "expected one of"},
      {"kind: model", "kind: plain", "model", 5, 8, "a plain service has no"},
      {"model: scorer-lm\n", "", "model", 1, 1, "missing"},
      {"name: s", "name: S", "name", 1, 7, "not an acceptable value"},
      {"name: s", "name: [s]", "name", 1, 7, "expected text, found a list"},
      {"team: t\n", "", "team", 1, 1, "missing"},
      {"callers: [", "callers: []\n#", "callers", 8, 10, "has 0 items"},
      {"9f86", "9F86", "callers[0].token_sha256", 8, 41, "not an acceptable"},
      {"}]", "}, {name: trainer, token_sha256: " + std::string(64, 'a') + "}]",
       "callers[1].name", 8, 108, "given twice"},
  };
  CheckFaults(faults, DocumentText("s", "t"), &ParseServiceDocument);
}

TEST(Validation, ReportsKeyAndPositionOfEntrySettingsFaults) {
  const std::vector<Fault> faults = {
      {"secret: sixteen-or-more-characters", "secret: short", "peer.secret", 3,
       16, "not an acceptable value"},
      {"{secret: sixteen-or-more-characters}", "{}", "peer.secret", 3, 7,
       "missing"},
      {"peer: ", "limits: {connections: -1}\npeer: ", "limits.connections", 3,
       23, "out of range"},
      {"peer: ", "tls: {certificate_file: a.pem}\npeer: ", "tls", 3, 6,
       "only one of"},
      {"peer: ", "routing: {strategy: best}\npeer: ", "routing.strategy", 3, 21,
       "expected one of least_loaded_of_two"},
      {"peer: ",
       "data_centers: [{name: a, region: r}, {name: a, region: r}]\n"
       "peer: ",
       "data_centers[1].name", 3, 38, "given twice"},
      {"http://127.0.0.1:7000", "127.0.0.1:7000", "platform.log_url", 2, 21,
       "not an acceptable value"},
      {"instance: entry-1, ", "", "place.instance", 1, 8, "missing"},
      {"region: uy-sur", "region: uy-sur, address: mvd", "place.address", 1, 73,
       "not an acceptable value"},
      {"region: uy-sur", "region: uy-sur, port: 65536", "place.port", 1, 70,
       "out of range"},
  };
  CheckFaults(faults, EntryText(), &ParseEntrySettings);
}

TEST(Validation, ReportsKeyAndPositionOfSidecarSettingsFaults) {
  const std::vector<Fault> faults = {
      {", model: m", "", "backend.model", 5, 10, "missing"},
      {"kind: engine", "kind: plain", "backend.model", 5, 10, "has no model"},
      {"kind: engine", "kind: motor", "backend.kind", 5, 47, "expected one of"},
      {"pool: scorer-lm", "", "pool", 1, 1, "missing"},
      {"pool: scorer-lm", "pool: scorer-lm\nlease: {margin_ms: 40000}",
       "lease.duration_ms", 5, 8, "not above renew_ms and margin_ms"},
      {"pool: scorer-lm", "pool: p\nscheduling: {strategy: lifo}",
       "scheduling.strategy", 5, 24, "expected one of fair_share, fifo"},
  };
  CheckFaults(faults, SidecarText(), &ParseSidecarSettings);
}

TEST(Validation, EveryFaultIsReportedAtOnce) {
  const auto result = ParseServiceDocument(
      "f.yaml", "name: S\nshare: x\nclass: urgent\nextra: 1\n");
  // Three invalid fields, one unknown, and team, kind, pool, callers missing.
  LONGS_EQUAL(8, result.report.Issues().size());
  STRCMP_EQUAL(
      "f.yaml:2:8: share: expected a whole number, found 'x'; use a whole "
      "number in 1 to 1000000",
      result.report.Issues()[1].Text().c_str());
}

TEST(Validation, RejectsTextThatIsNotASingleMap) {
  const std::string deep(20'000, '[');
  const std::string huge(300 * 1024, 'a');
  for (const std::string& text :
       {std::string(), std::string("- a"), std::string("a: [1"),
        std::string("a: 1\n---\nb: 2"), std::string(",,,"),
        DocumentText("s", "t") + ",", DocumentText("s", "t") + "]",
        std::string("\xff\xfe\x01"), std::string("&a [*a]"),
        std::string("? {a: 1}\n: b"), deep, huge}) {
    const auto result = ParseServiceDocument("f.yaml", text);
    CHECK_FALSE(result.Ok());
  }
}

TEST(Validation, IssuesNeverContainASecret) {
  const std::string text =
      Replaced(EntryText(), "sixteen-or-more-characters", "'hidden one'");
  const auto result = ParseEntrySettings("f.yaml", text);
  CHECK_FALSE(result.Ok());
  CHECK_TRUE(result.report.Text().find("hidden") == std::string::npos);
}

TEST(Validation, SecretFilesAreResolved) {
  const std::string folder = std::string(getenv("CAROBBANK_BIN")) + "/";
  const std::string secret = folder + "contract-test-secret";
  const std::string settings = folder + "contract-test-settings.yaml";
  const auto load = [&](std::string_view content) {
    std::ofstream(secret) << content;
    std::ofstream(settings)
        << Replaced(EntryText(), "secret: sixteen-or-more-characters",
                    "secret_file: '" + secret + "'");
    return LoadEntrySettings(settings);
  };
  const auto loaded = load("from-a-file-of-its-own\n# next line");
  CHECK_TRUE(loaded.Ok());
  STRCMP_EQUAL("from-a-file-of-its-own", loaded.value.peer.secret.c_str());
  CHECK_FALSE(load("short\n").Ok());
  std::remove(secret.c_str());
  CHECK_FALSE(LoadEntrySettings(settings).Ok());
  std::remove(settings.c_str());
  CHECK_FALSE(LoadEntrySettings(settings).Ok());
}

TEST(Validation, EqualDocumentsHaveTheSameCanonicalTextAndDigest) {
  const auto written = ParseServiceDocument("a", DocumentText("s", "t"));
  const auto reordered = ParseServiceDocument(
      "b", "# a comment\nswap: interrupt\n" + DocumentText("s", "t") +
               "limits: {deadline_ms: 60000}\n");
  CHECK_TRUE(reordered.Ok());
  STRCMP_EQUAL(DocumentDigest(written.value).c_str(),
               DocumentDigest(reordered.value).c_str());
  const std::string canonical = CanonicalText(written.value);
  const auto again = ParseServiceDocument("c", canonical);
  CHECK_TRUE(again.Ok());
  STRCMP_EQUAL(canonical.c_str(), CanonicalText(again.value).c_str());
  const auto other = ParseServiceDocument("d", DocumentText("s", "t", 99));
  CHECK_FALSE(DocumentDigest(other.value) == DocumentDigest(written.value));
}

TEST(Validation, OnlyListedCallsOfPlainServicesMayBeRepeated) {
  ServiceDocument document;
  document.kind = ServiceKind::kPlain;
  document.idempotency.repeatable = {{"GET", "/slots"}, {"POST", "/find/"}};
  CHECK_TRUE(document.IsRepeatable("GET", "/slots"));
  CHECK_TRUE(document.IsRepeatable("GET", "/slots/4"));
  CHECK_TRUE(document.IsRepeatable("POST", "/find/crew"));
  CHECK_FALSE(document.IsRepeatable("GET", "/slots-confirm"));
  CHECK_FALSE(document.IsRepeatable("POST", "/slots"));
  CHECK_FALSE(document.IsRepeatable("GET", "/"));
  document.kind = ServiceKind::kModel;
  CHECK_TRUE(document.IsRepeatable("POST", "/v1/completions"));
}

}  // namespace carobbank
