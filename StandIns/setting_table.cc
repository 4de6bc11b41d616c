// Conversion of JSON values to settings.

#include "StandIns/setting_table.h"

namespace carobbank {

bool ReadSetting(const Json::Value& value, bool& setting) {
  if (!value.isBool()) {
    return false;
  }
  setting = value.asBool();
  return true;
}

bool ReadSetting(const Json::Value& value, std::int64_t& setting) {
  if (!value.isInt64() || value.asInt64() < 0) {
    return false;
  }
  setting = value.asInt64();
  return true;
}

bool ReadSetting(const Json::Value& value, double& setting) {
  if (!value.isNumeric() || value.asDouble() < 0) {
    return false;
  }
  setting = value.asDouble();
  return true;
}

bool ReadSetting(const Json::Value& value, std::string& setting) {
  if (!value.isString()) {
    return false;
  }
  setting = value.asString();
  return true;
}

bool ConsumeFault(std::int64_t& remaining) {
  if (remaining <= 0) {
    return false;
  }
  --remaining;
  return true;
}

}  // namespace carobbank
