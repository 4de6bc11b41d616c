// `carobbank check`: validates files and reports all issues of all files.

#include <ostream>

#include "LibContract/contract.h"
#include "LibOperator/verbs.h"

namespace carobbank {

ExitCode RunCheck(const CheckArguments& arguments,
                  OperatorEnvironment& environment) {
  ValidationReport report;
  Json::Value files(Json::arrayValue);
  for (const std::string& file : arguments.files) {
    const ValidationResult<ServiceDocument> checked = LoadServiceDocument(file);
    report.Append(checked.report);
    Json::Value row;
    row["file"] = file;
    row["valid"] = checked.Ok();
    if (checked.Ok()) {
      row["service"] = checked.value.name;
      row["digest"] = DocumentDigest(checked.value);
    }
    files.append(std::move(row));
    if (!arguments.json && checked.Ok()) {
      environment.Out() << file << ": valid\n";
    }
  }
  if (arguments.json) {
    Json::Value document;
    document["files"] = std::move(files);
    document["issues"] = report.ToJson();
    environment.Out() << WriteJson(document) << "\n";
  } else {
    environment.Out() << report.Text();
  }
  return report.Ok() ? ExitCode::kOk : ExitCode::kInvalid;
}

}  // namespace carobbank
