// Loads files as validated settings and documents.

#include "LibContract/settings_file.h"

#include <fstream>
#include <iterator>

#include "LibContract/text_rules.h"
#include "LibContract/yaml_text.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxSecretFileBytes = 4'096;

// An issue without a position inside the file.
ValidationIssue FileIssue(std::string_view path,
                          std::string_view key,
                          const Error& error) {
  ValidationIssue issue;
  issue.file = path;
  issue.key = key;
  issue.problem = error.message;
  issue.remedy = error.remedy;
  return issue;
}

// Replaces `secret` by the first line of `file`, unless the file name is empty.
void ResolveSecret(std::string_view path,
                   std::string_view key,
                   const std::string& file,
                   std::string& secret,
                   ValidationReport& report) {
  if (file.empty()) {
    return;
  }
  const auto text =
      Capture([&] { return ReadTextFile(file, kMaxSecretFileBytes); });
  if (!text.Ok()) {
    report.Add(FileIssue(path, key, text.GetError()));
    return;
  }
  std::string line = text.Value().substr(0, text.Value().find('\n'));
  if (!kSecretRule.accepts(line)) {
    report.Add(
        FileIssue(path, key,
                  {ErrorKind::kInvalidArgument,
                   "the first line of " + file + " is not an acceptable secret",
                   "use " + std::string(kSecretRule.range)}));
    return;
  }
  secret = std::move(line);
}

void ResolveSecrets(std::string_view path,
                    PeerSecretSettings& peer,
                    ValidationReport& report) {
  ResolveSecret(path, "peer.secret_file", peer.secret_file, peer.secret,
                report);
  ResolveSecret(path, "peer.previous_secret_file", peer.previous_secret_file,
                peer.previous_secret, report);
}

template <typename T>
ValidationResult<T> Load(std::string_view path,
                         ValidationResult<T> (*parse)(std::string_view,
                                                      std::string_view)) {
  const auto text = Capture([&] { return ReadTextFile(path, kMaxYamlBytes); });
  if (text.Ok()) {
    return parse(path, text.Value());
  }
  ValidationResult<T> result;
  result.report.Add(FileIssue(path, "", text.GetError()));
  return result;
}

template <typename T>
ValidationResult<T> LoadSettings(
    std::string_view path,
    ValidationResult<T> (*parse)(std::string_view, std::string_view)) {
  ValidationResult<T> result = Load(path, parse);
  if (result.Ok()) {
    ResolveSecrets(path, result.value.peer, result.report);
  }
  return result;
}

}  // namespace

Result<std::string> ReadTextFile(std::string_view path, std::size_t max_bytes) {
  std::ifstream file{std::string(path), std::ios::binary};
  if (!file) {
    return Fail(ErrorKind::kNotFound, "can't open " + std::string(path),
                "check the path and its permissions");
  }
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return Fail(ErrorKind::kNotFound, "can't read " + std::string(path),
                "name a regular file");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string(path) + " is too large",
                "keep it within " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

ValidationResult<EntrySettings> LoadEntrySettings(std::string_view path) {
  return LoadSettings(path, &ParseEntrySettings);
}

ValidationResult<SidecarSettings> LoadSidecarSettings(std::string_view path) {
  return LoadSettings(path, &ParseSidecarSettings);
}

ValidationResult<GatewaySettings> LoadGatewaySettings(std::string_view path) {
  return Load(path, &ParseGatewaySettings);
}

ValidationResult<ServiceDocument> LoadServiceDocument(std::string_view path) {
  return Load(path, &ParseServiceDocument);
}

}  // namespace carobbank
