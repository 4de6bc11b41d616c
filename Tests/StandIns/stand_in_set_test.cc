// Sets of stand-ins from YAML. Guards against option types, ports and seeds
// that the parser gets wrong, against descriptions with an error that run
// anyway, and against settings that docs/TESTING.md doesn't document.

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "Support/stand_in_host.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

// A file that is removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content) {
    ::close(::mkstemp(this->path.data()));
    std::ofstream(this->path) << content;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path = "/tmp/carobbank-stand-ins-XXXXXX";
};

Outcome<StandInSetDescription> Load(const std::string& yaml) {
  const TemporaryFile file(yaml);
  return Capture([&] { return StandInSetDescription::Load(file.path); });
}

}  // namespace

TEST_GROUP(StandInSet){};

TEST(StandInSet, CountAssignsConsecutivePortsAndSeeds) {
  const auto description = Load(
      "seed: 7\n"
      "threads: 2\n"
      "stand_ins:\n"
      "  - {role: log, port: 7000, options: {lose_answers: 2, outage: false}}\n"
      "  - {role: engine, port: 7100, count: 2,\n"
      "     options: {time_scale: 0.1, crash_marker: \"7\"}}\n");
  CHECK_TRUE(description.Ok());
  const auto& set = description.Value();
  CHECK_EQUAL(2U, set.threads);
  CHECK_EQUAL(3U, set.stand_ins.size());
  CHECK_EQUAL(7101, set.stand_ins[2].options.port);
  CHECK_EQUAL(9U, set.stand_ins[2].options.seed);
  CHECK_TRUE(set.stand_ins[0].control["outage"].isBool());
  CHECK_EQUAL(2, set.stand_ins[0].control["lose_answers"].asInt());
  CHECK_TRUE(set.stand_ins[1].control["crash_marker"].isString());
}

TEST(StandInSet, InvalidDescriptionsAreTypedErrors) {
  CheckError(ErrorKind::kInvalidArgument, Load("stand_ins: 3"));
  CheckError(ErrorKind::kInvalidArgument, Load("a: [1"));
  CheckError(ErrorKind::kInvalidArgument, Load("{threads: -1, stand_ins: []}"));
  CheckError(ErrorKind::kInvalidArgument,
             Load("stand_ins: [{role: log, port: 65536}]"));
  CheckError(ErrorKind::kInvalidArgument,
             Load("stand_ins: [{role: log, count: 0}]"));
  for (const char* yaml :
       {"stand_ins: [{role: unknown}]",
        "stand_ins: [{role: log, options: {no_such_setting: 1}}]"}) {
    const auto description = Load(yaml);
    CHECK_TRUE(description.Ok());
    CHECK_FALSE(
        Capture([&] { return StandInSet::Create(description.Value()); }).Ok());
  }
}

// The table in docs/TESTING.md must have every setting of every role.
TEST(StandInSet, DocumentationNamesEverySetting) {
  std::ifstream file("docs/TESTING.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const std::string_view role : StandInRoles()) {
    StandInHost host(role);
    for (const std::string& name :
         host.FetchJson("/control").getMemberNames()) {
      CHECK_TRUE_TEXT(page.str().find("`" + name + "`") != std::string::npos,
                      name.c_str());
    }
  }
}

}  // namespace carobbank
