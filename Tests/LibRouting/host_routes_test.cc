// Routes by host and path prefix. Guards against a shorter prefix or another
// host's route winning, and against a wrong split between weighted services.

#include "LibRouting/routing.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

HostRoute Route(const char* name, const char* host, const char* prefix) {
  HostRoute route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"app", 1}};
  return route;
}

}  // namespace

TEST_GROUP(HostRoutes) {
  HostRoutes routes{{Route("wide", "a.example", "/x/"),
                     Route("narrow", "a.example", "/x/y/"),
                     Route("other", "b.example", "/x/")}};
};

TEST(HostRoutes, TheLongestPrefixOfTheHostWins) {
  const struct {
    const char* host;
    const char* path;
    const char* route;
  } cases[] = {
      {"a.example", "/x/1", "wide"},     {"a.example", "/x/y/1", "narrow"},
      {"a.example", "/x/y", "wide"},     {"A.Example:80", "/x/1", "wide"},
      {"b.example", "/x/y/1", "other"},  {"a.example", "/x", nullptr},
      {"c.example", "/x/1", nullptr},    {"", "/x/1", nullptr},
      {"a.example", "/z/x/y/", nullptr},
  };
  for (const auto& example : cases) {
    const HostRoute* const found =
        this->routes.Find(example.host, example.path);
    STRCMP_EQUAL(example.route, found ? found->name.c_str() : nullptr);
  }
}

TEST(HostRoutes, ServicesAreChosenByWeight) {
  HostRoute route = Route("split", "a", "/");
  route.services = {{"one", 90}, {"two", 10}, {"none", 0}};
  int two = 0;
  constexpr int kDraws = 1'000;
  for (std::uint64_t draw = 0; draw < kDraws; ++draw) {
    const std::string& service = ChooseService(route, draw);
    CHECK_FALSE(service == "none");
    two += service == "two" ? 1 : 0;
  }
  LONGS_EQUAL(kDraws / 10, two);
}

}  // namespace carobbank
