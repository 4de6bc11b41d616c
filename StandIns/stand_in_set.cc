// Parsing and running of a set of stand-ins.

#include "StandIns/stand_in_set.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <utility>

#include "StandIns/stand_in_factory.h"

namespace carobbank {

namespace {

Json::Value ScalarToJson(const YAML::Node& node) {
  // A quoted scalar has the tag "!" and stays a string.
  if (node.Tag() != "!") {
    bool boolean = false;
    if (YAML::convert<bool>::decode(node, boolean)) {
      return boolean;
    }
    std::int64_t integer = 0;
    if (YAML::convert<std::int64_t>::decode(node, integer)) {
      return Json::Int64{integer};
    }
    double number = 0;
    if (YAML::convert<double>::decode(node, number)) {
      return number;
    }
  }
  return node.Scalar();
}

Json::Value YamlToJson(const YAML::Node& node) {
  if (node.IsScalar()) {
    return ScalarToJson(node);
  }
  if (node.IsSequence()) {
    Json::Value list(Json::arrayValue);
    for (const YAML::Node& item : node) {
      list.append(YamlToJson(item));
    }
    return list;
  }
  Json::Value object(Json::objectValue);
  for (const auto& member : node) {
    object[member.first.as<std::string>()] = YamlToJson(member.second);
  }
  return object;
}

// An optional integer member.
struct NumberField {
  const char* name;
  std::int64_t fallback;
  std::int64_t minimum;
  std::int64_t maximum;
};

Result<std::int64_t> ReadNumber(const Json::Value& object,
                                const NumberField& field) {
  const std::int64_t value = JsonInteger(object, field.name, field.fallback);
  if (value < field.minimum || value > field.maximum) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string(field.name) + " is out of range",
                "give a number from " + std::to_string(field.minimum) + " to " +
                    std::to_string(field.maximum));
  }
  return value;
}

Result<Json::Value> LoadYaml(const std::string& file) {
  try {
    return YamlToJson(YAML::LoadFile(file));
  } catch (const YAML::Exception& exception) {
    return Fail(ErrorKind::kInvalidArgument, file + ": " + exception.what(),
                "see StandIns/stand_in_set.h for the form");
  }
}

}  // namespace

Result<StandInSetDescription> StandInSetDescription::Load(
    const std::string& file) {
  BOOST_LEAF_AUTO(document, LoadYaml(file));
  if (!document.isObject() || !document["stand_ins"].isArray()) {
    return Fail(ErrorKind::kInvalidArgument,
                file + ": the list stand_ins is missing",
                "see StandIns/stand_in_set.h for the form");
  }
  StandInSetDescription result;
  BOOST_LEAF_AUTO(threads, ReadNumber(document, {"threads", 1, 1, 64}));
  result.threads = static_cast<std::size_t>(threads);
  auto seed = static_cast<std::uint64_t>(JsonInteger(document, "seed", 1));
  for (const Json::Value& entry : document["stand_ins"]) {
    StandInDescription description;
    description.role = JsonString(entry, "role");
    description.options.address =
        JsonString(document, "address", description.options.address);
    if (entry.isObject() && entry["options"].isObject()) {
      description.control = entry["options"];
    }
    BOOST_LEAF_AUTO(port, ReadNumber(entry, {"port", 0, 0, 65'535}));
    BOOST_LEAF_AUTO(count, ReadNumber(entry, {"count", 1, 1, 65'535}));
    for (std::int64_t index = 0; index < count; ++index) {
      description.options.port = static_cast<std::uint16_t>(port + index);
      description.options.seed = seed++;
      result.stand_ins.push_back(description);
    }
  }
  return result;
}

Result<std::unique_ptr<StandInSet>> StandInSet::Create(
    const StandInSetDescription& description) {
  std::unique_ptr<StandInSet> set(new StandInSet());
  const std::size_t threads = std::max<std::size_t>(description.threads, 1);
  for (std::size_t index = 0; index < threads; ++index) {
    set->loops.push_back(std::make_unique<EventLoop>());
  }
  for (const StandInDescription& stand_in : description.stand_ins) {
    BOOST_LEAF_CHECK(set->Add(stand_in));
  }
  return set;
}

StandInSet::~StandInSet() = default;

Result<void> StandInSet::Add(const StandInDescription& description) {
  EventLoop& loop = *this->loops[this->stand_ins.size() % this->loops.size()];
  BOOST_LEAF_AUTO(stand_in,
                  CreateStandIn(description.role, loop, description.options));
  BOOST_LEAF_CHECK(stand_in->ApplyControl(description.control));
  BOOST_LEAF_CHECK(stand_in->Listen());
  this->listening.push_back(description.role + " " +
                            description.options.address + ":" +
                            std::to_string(stand_in->Port()));
  this->stand_ins.push_back(std::move(stand_in));
  return {};
}

void StandInSet::Run() {
  std::vector<std::jthread> threads;
  for (std::size_t index = 1; index < this->loops.size(); ++index) {
    threads.emplace_back([this, index] { this->loops[index]->Run(); });
  }
  this->loops.front()->Run();
  for (std::size_t index = 1; index < this->loops.size(); ++index) {
    this->loops[index]->Stop();
  }
}

}  // namespace carobbank
