// Guards against a settings template that renders invalid settings: for a
// platform without an API for duties, or for one with it. Run from the
// repository's root.

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "LibContract/contract.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::string Template() {
  std::ifstream file("deploy/gateway.yaml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::map<std::string, std::string> PlatformValues() {
  return {{"node", "gw-1"},
          {"zone", "z1"},
          {"listen.front", "10.1.0.1:8161"},
          {"listen.ready", "10.1.0.1:8162"},
          {"listen.control", "10.1.0.1:8166"},
          {"platform.addr", "10.200.0.1:8169"},
          {"seeds", "10.1.0.1:8166,10.1.0.2:8166"},
          {"limits.cpu_share", "0.25"},
          {"limits.link_mbps", "100"},
          {"limits.memory_mb", "160"},
          {"platform.parts", "8"},
          {"platform.record_bytes", "262144"},
          {"platform.call_bytes", "2097152"},
          {"bounds.status_s", "40"},
          {"bounds.lease_ms", "3000"},
          {"bounds.grace_s", "8"}};
}

// Renders sections ({{#name}} to {{/name}}) and values. A section is rendered
// when a value of that name, or within it, is present.
std::string Render(std::string text,
                   const std::map<std::string, std::string>& values) {
  for (std::size_t begin = text.find("{{#"); begin != std::string::npos;
       begin = text.find("{{#")) {
    const std::size_t name_end = text.find("}}", begin);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string closing = "{{/" + name + "}}";
    const std::size_t end = text.find(closing, begin);
    const auto value = values.lower_bound(name);
    const bool present =
        value != values.end() && value->first.starts_with(name);
    std::string inner = text.substr(name_end + 2, end - name_end - 2);
    text.replace(begin, end + closing.size() - begin, present ? inner : "");
  }
  for (std::size_t begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{")) {
    const std::size_t end = text.find("}}", begin);
    const std::string name = text.substr(begin + 2, end - begin - 2);
    CHECK_TRUE_TEXT(values.contains(name), name.c_str());
    text.replace(begin, end + 2 - begin, values.at(name));
  }
  return text;
}

}  // namespace

TEST_GROUP(SettingsTemplate){};

TEST(SettingsTemplate, WithoutAnApiTheSettingsAreValidAndNameNoDuty) {
  const auto settings = ParseGatewaySettings(
      "gateway.yaml", Render(Template(), PlatformValues()));
  CHECK_TRUE(settings.report.Ok());
  CHECK_FALSE(HasDuty(settings.value.duties, "usage_report"));
  CHECK_FALSE(HasDuty(settings.value.duties, "autoscale"));
}

TEST(SettingsTemplate, WithAnApiTheSettingsNameItsDuties) {
  std::map<std::string, std::string> values = PlatformValues();
  values["cloud_api.addr"] = "10.200.0.28:8247";
  values["cloud_api.duties"] = "usage_report,autoscale";
  values["cloud_api.duty_per_s"] = "50.0";
  values["bounds.require_fence"] = "false";
  values["bounds.report_window_s"] = "5";
  values["bounds.usage_late_s"] = "10";
  const auto settings =
      ParseGatewaySettings("gateway.yaml", Render(Template(), values));
  CHECK_TRUE(settings.report.Ok());
  const DutySettings& duties = settings.value.duties;
  CHECK_TRUE(HasDuty(duties, "usage_report"));
  CHECK_TRUE(HasDuty(duties, "autoscale"));
  CHECK_FALSE(HasDuty(duties, "usage"));
  STRCMP_EQUAL("10.200.0.28:8247", duties.address.c_str());
  CHECK_FALSE(duties.tokens_checked);
  DOUBLES_EQUAL(50, duties.calls_per_s, 1e-9);
  LONGS_EQUAL(10, duties.usage_late_s);
}

}  // namespace carobbank
