// Parsing through yaml-cpp, with a size limit, exceptions converted to issues,
// and strict scalars.

#include "LibContract/yaml_text.h"

#include <yaml-cpp/eventhandler.h>

#include <charconv>
#include <cmath>
#include <sstream>

namespace carobbank {

namespace {

// yaml-cpp tags quoted scalars "!" and plain ones "?".
constexpr std::string_view kPlainTag = "?";

std::string_view NodeName(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Null:
      return "nothing";
    case YAML::NodeType::Scalar:
      return "a scalar";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a map";
    case YAML::NodeType::Undefined:
      return "nothing";
  }
  return "nothing";
}

bool IsPlainScalar(const YAML::Node& node) {
  return node.IsScalar() && node.Tag() == kPlainTag;
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Discards the parser's events.
class IgnoringHandler final : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

// Used instead of YAML::LoadAll, which never returns when a token can't begin a
// document: it then parses empty documents without end. Two steps of the parser
// distinguish one document from none and from several.
bool IsOneDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  IgnoringHandler handler;
  return parser.HandleNextDocument(handler) &&
         !parser.HandleNextDocument(handler);
}

}  // namespace

void YamlDiagnostics::Report(const YAML::Mark& mark,
                             std::string_view key,
                             std::string problem,
                             std::string remedy) {
  ValidationIssue issue;
  issue.file = this->file;
  if (!mark.is_null()) {
    issue.line = mark.line + 1;
    issue.column = mark.column + 1;
  }
  issue.key = key;
  issue.problem = std::move(problem);
  issue.remedy = std::move(remedy);
  this->report.Add(std::move(issue));
}

void YamlDiagnostics::ReportType(const YAML::Node& node,
                                 std::string_view key,
                                 std::string_view expected,
                                 std::string remedy) {
  std::string found(NodeName(node));
  if (node.IsScalar()) {
    found = "'" + node.Scalar().substr(0, 64) + "'";
  }
  this->Report(node.Mark(), key,
               "expected " + std::string(expected) + ", found " + found,
               std::move(remedy));
}

std::optional<YAML::Node> ParseYamlMap(std::string_view text,
                                       YamlDiagnostics& diagnostics) {
  if (text.size() > kMaxYamlBytes) {
    diagnostics.Report(
        YAML::Mark(), "",
        "the YAML text is " + std::to_string(text.size()) + " bytes long",
        "keep it within " + std::to_string(kMaxYamlBytes) + " bytes");
    return std::nullopt;
  }
  YAML::Node document;
  try {
    const std::string copy(text);
    if (IsOneDocument(copy)) {
      document = YAML::Load(copy);
    }
  } catch (const YAML::Exception& exception) {
    diagnostics.Report(exception.mark, "", "not valid YAML: " + exception.msg,
                       "fix the YAML syntax at this position");
    return std::nullopt;
  }
  if (!document.IsMap()) {
    diagnostics.Report(YAML::Mark(), "", "the text is not a single YAML map",
                       "write one YAML document of the form `key: value`");
    return std::nullopt;
  }
  return document;
}

std::optional<std::int64_t> YamlInteger(const YAML::Node& node) {
  if (!IsPlainScalar(node)) {
    return std::nullopt;
  }
  return ParseNumber<std::int64_t>(node.Scalar());
}

std::optional<double> YamlReal(const YAML::Node& node) {
  if (!IsPlainScalar(node)) {
    return std::nullopt;
  }
  const auto number = ParseNumber<double>(node.Scalar());
  if (!number || !std::isfinite(*number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> YamlBoolean(const YAML::Node& node) {
  if (!IsPlainScalar(node)) {
    return std::nullopt;
  }
  if (node.Scalar() == "true") {
    return true;
  }
  if (node.Scalar() == "false") {
    return false;
  }
  return std::nullopt;
}

}  // namespace carobbank
