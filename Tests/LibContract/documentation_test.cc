// Tests that docs/OPERATORS.md has a row for every field, and that the files in
// docs/examples/ are valid. Run from the repository's root.

#include <filesystem>
#include <set>

#include "LibContract/contract.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kMaxPageBytes = 1024 * 1024;

std::string OperatorsPage() {
  return Capture(
             [] { return ReadTextFile("docs/OPERATORS.md", kMaxPageBytes); })
      .Value();
}

std::vector<std::string> FilesIn(const std::string& folder) {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    files.push_back(entry.path().string());
  }
  return files;
}

void CheckDocuments(const std::string& folder) {
  std::set<std::string> names;
  for (const std::string& file : FilesIn(folder)) {
    const ValidationResult<ServiceDocument> result = LoadServiceDocument(file);
    CHECK_TRUE_TEXT(result.Ok(), result.report.Text().c_str());
    CHECK_TRUE_TEXT(names.insert(result.value.name).second, file.c_str());
  }
  LONGS_EQUAL(3, names.size());
}

}  // namespace

TEST_GROUP(Documentation){};

TEST(Documentation, OperatorsPageHasARowForEachField) {
  const std::string page = OperatorsPage();
  for (const auto describe :
       {&DescribeServiceDocument, &DescribeEntrySettings,
        &DescribeSidecarSettings, &DescribeGatewaySettings}) {
    for (const FieldDescription& field : describe()) {
      const std::string row = field.TableRow();
      CHECK_TRUE_TEXT(page.find(row + "\n") != std::string::npos, row.c_str());
    }
  }
}

TEST(Documentation, ExampleDocumentsAreValid) {
  CheckDocuments("docs/examples/ruta-clara");
  CheckDocuments("docs/examples/gulf-reach");
}

TEST(Documentation, ExampleSettingsAreValid) {
  for (const std::string& file : FilesIn("docs/examples/settings")) {
    const bool is_entry = file.find("/entry") != std::string::npos;
    const ValidationReport report = is_entry ? LoadEntrySettings(file).report
                                             : LoadSidecarSettings(file).report;
    CHECK_TRUE_TEXT(report.Ok(), report.Text().c_str());
  }
}

}  // namespace carobbank
