// Text and JSON forms of validation issues.

#include "LibContract/validation.h"

namespace carobbank {

std::string ValidationIssue::Text() const {
  std::string text = this->file + ":" + std::to_string(this->line) + ":" +
                     std::to_string(this->column) + ": ";
  if (!this->key.empty()) {
    text += this->key + ": ";
  }
  return text + this->problem + "; " + this->remedy;
}

void ValidationReport::Add(ValidationIssue issue) {
  this->issues.push_back(std::move(issue));
}

void ValidationReport::Append(const ValidationReport& other) {
  this->issues.insert(this->issues.end(), other.issues.begin(),
                      other.issues.end());
}

std::string ValidationReport::Text() const {
  std::string text;
  for (const ValidationIssue& issue : this->issues) {
    text += issue.Text() + "\n";
  }
  return text;
}

Json::Value ValidationReport::ToJson() const {
  Json::Value list(Json::arrayValue);
  for (const ValidationIssue& issue : this->issues) {
    Json::Value value;
    value["file"] = issue.file;
    value["line"] = issue.line;
    value["column"] = issue.column;
    value["key"] = issue.key;
    value["problem"] = issue.problem;
    value["remedy"] = issue.remedy;
    list.append(std::move(value));
  }
  return list;
}

Error ValidationReport::ToError() const {
  const ValidationIssue& first = this->issues.front();
  std::string message = first.file + ":" + std::to_string(first.line) + ":" +
                        std::to_string(first.column) + ": " + first.key + ": " +
                        first.problem;
  if (this->issues.size() > 1) {
    message += " (and " + std::to_string(this->issues.size() - 1) + " more)";
  }
  return Error{ErrorKind::kInvalidArgument, std::move(message), first.remedy};
}

}  // namespace carobbank
