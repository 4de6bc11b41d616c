// carobbank-stand-in: runs one stand-in (a simulated platform service), or all
// stand-ins of a settings file.
//
//   carobbank-stand-in log --port 7000 --option retention_records=1000
//   carobbank-stand-in all --settings FILE.yaml

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "StandIns/stand_ins.h"

namespace carobbank {

namespace {

constexpr int kExitUsage = 2;

struct Arguments {
  std::string role;
  std::string settings_file;
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t seed = 0;
  std::vector<std::string> options;
};

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-ins for carobbank's platform", ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> role(
      "role", "log, instances, weights, engine, plain or all", true, "", "role",
      command);
  TCLAP::ValueArg<std::string> settings(
      "", "settings", "YAML file for the role all", false, "", "file", command);
  TCLAP::ValueArg<std::string> address("", "address", "address to listen on",
                                       false, "127.0.0.1", "address", command);
  TCLAP::ValueArg<std::uint16_t> port("", "port", "port; 0 selects a free port",
                                      false, 0, "port", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed",
                                      "seed of the random number generator",
                                      false, 1, "number", command);
  TCLAP::MultiArg<std::string> option("", "option",
                                      "NAME=JSON, as in POST /control", false,
                                      "name=json", command);
  command.parse(argc, argv);
  return {role.getValue(), settings.getValue(), address.getValue(),
          port.getValue(), seed.getValue(),     option.getValue()};
}

// Text that isn't valid JSON is used as a string.
Json::Value ParseOptionValue(const std::string& text) {
  const auto parsed = Capture([&] { return ParseJson(text); });
  return parsed.Ok() ? parsed.Value() : Json::Value(text);
}

Result<StandInSetDescription> BuildDescription(const Arguments& arguments) {
  if (arguments.role == "all") {
    return StandInSetDescription::Load(arguments.settings_file);
  }
  StandInDescription description;
  description.role = arguments.role;
  description.options.address = arguments.address;
  description.options.port = arguments.port;
  description.options.seed = arguments.seed;
  description.options.exits_on_crash = true;
  for (const std::string& option : arguments.options) {
    const std::size_t equals = option.find('=');
    if (equals == std::string::npos) {
      return Fail(ErrorKind::kInvalidArgument,
                  "option is not NAME=JSON: " + option,
                  "give each --option as NAME=JSON");
    }
    description.control[option.substr(0, equals)] =
        ParseOptionValue(option.substr(equals + 1));
  }
  StandInSetDescription set;
  set.stand_ins.push_back(std::move(description));
  return set;
}

Result<bool> Run(const Arguments& arguments) {
  BOOST_LEAF_AUTO(description, BuildDescription(arguments));
  BOOST_LEAF_AUTO(set, StandInSet::Create(description));
  for (const std::string& line : set->Listening()) {
    std::printf("listening: %s\n", line.c_str());
  }
  std::printf("ready\n");
  std::fflush(stdout);
  EventLoop& loop = set->FirstLoop();
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  set->Run();
  return true;
}

int Main(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  const auto outcome = Capture([&] { return Run(arguments); });
  if (!outcome.Ok()) {
    std::fprintf(stderr, "carobbank-stand-in: %s\n",
                 outcome.GetError().Text().c_str());
    return kExitUsage;
  }
  return 0;
}

}  // namespace

}  // namespace carobbank

int main(int argc, char** argv) {
  return carobbank::Main(argc, argv);
}
