// Choice of a backend server. Rules that hold for every load balancing strategy
// run against all of them. Guards against choices that violate exclusions,
// versions, quarantine or idle_only, and against uneven load from late reports.

#include "LibRouting/routing.h"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr double kNear = 0;
constexpr double kFar = 1.5;

std::unique_ptr<Router> MakeRouter(std::string_view strategy) {
  RouterOptions options;
  options.strategy = strategy;
  return std::move(Capture([&] { return Router::Create(options); }).Value());
}

// Adds servers "s0", "s1", ... of version 7.
void AddServers(Router& router, int count, const char* data_center = "near") {
  const double latency = std::string_view(data_center) == "near" ? kNear : kFar;
  const int first = static_cast<int>(router.Servers().Size());
  for (int number = first; number < first + count; ++number) {
    const ServerIndex server = router.Servers().Upsert(
        "s" + std::to_string(number), data_center, latency);
    router.Servers().SetVersion(server, 7);
  }
}

std::string IdOf(const Router& router, const RouteChoice& choice) {
  return choice.Found() ? router.Servers().At(choice.server).id : "";
}

void Report(Router& router,
            std::string_view id,
            std::uint32_t running,
            MonotonicTime as_of,
            std::uint32_t training = 0) {
  ReportedLoad load;
  load.as_of = as_of;
  load.running = running;
  load.training = training;
  load.max_batch = 8;
  router.Servers().SetLoad(router.Servers().Find(id), load);
}

}  // namespace

TEST_GROUP(Router) {
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  Random random{42};
};

TEST(Router, UnknownStrategyIsRefusedWithTheValidNames) {
  RouterOptions options;
  options.strategy = "fastest";
  const auto router = Capture([&] { return Router::Create(options); });
  CHECK_FALSE(router.Ok());
  CHECK_TRUE(router.GetError().remedy.find("two_choices") != std::string::npos);
  options.strategy = "random";
  options.cost_per_version = -1;
  CHECK_FALSE(Capture([&] { return Router::Create(options); }).Ok());
}

TEST(Router, EveryStrategyRespectsExclusionsAndVersions) {
  for (std::string_view name : LoadBalancingStrategyNames()) {
    const SimpleString text(std::string(name).c_str());
    const auto router = MakeRouter(name);
    RouteRequest request;
    request.prefix_hash = 99;
    CHECK_TRUE_TEXT(
        router->Choose(request, random).failure == RouteFailure::kNoServer,
        text.asCharString());
    AddServers(*router, 30);
    AddServers(*router, 10, "far");
    // Only s39 is left: the others are excluded, or have another version.
    std::vector<std::string> excluded;
    for (int number = 0; number < 39; ++number) {
      const std::string id = "s" + std::to_string(number);
      if (number % 2 == 0) {
        excluded.push_back(id);
      } else {
        router->Servers().SetVersion(router->Servers().Find(id), 5);
      }
    }
    request.excluded = excluded;
    request.versions = {6, 7};
    STRCMP_EQUAL_TEXT("s39",
                      IdOf(*router, router->Choose(request, random)).c_str(),
                      text.asCharString());
    request.versions = {8, 9};
    CHECK_TRUE_TEXT(
        router->Choose(request, random).failure == RouteFailure::kNoVersion,
        text.asCharString());
    request.versions = {6, 7};
    excluded.emplace_back("s39");
    request.excluded = excluded;
    CHECK_TRUE_TEXT(
        router->Choose(request, random).failure == RouteFailure::kAllExcluded,
        text.asCharString());
    request.excluded = {};
    router->RemoveServer("s39");
    for (int round = 0; round < 50; ++round) {
      CHECK_TRUE(IdOf(*router, router->Choose(request, random)) != "s39");
    }
  }
}

TEST(Router, QuarantinedDigestIsNotRouted) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 2);
  RouteRequest request;
  request.digest = "fatal";
  CHECK_TRUE(router->Choose(request, random).Found());
  router->Quarantine("fatal");
  CHECK_TRUE(router->Choose(request, random).failure ==
             RouteFailure::kQuarantined);
}

TEST(Router, IdleOnlyFindsTheOneIdleServer) {
  for (std::string_view name : LoadBalancingStrategyNames()) {
    const auto router = MakeRouter(name);
    AddServers(*router, 40);
    RouteRequest request;
    for (int number = 0; number < 40; ++number) {
      if (number != 23) {
        Report(*router, "s" + std::to_string(number), 1, now);
      }
    }
    request.idle_only = true;
    const RouteChoice choice = router->Choose(request, random);
    STRCMP_EQUAL("s23", IdOf(*router, choice).c_str());
    router->OnSent(choice.server, request, now);
    CHECK_TRUE(router->Choose(request, random).failure ==
               RouteFailure::kNoneIdle);
    router->OnFinished(choice.server, now);
    CHECK_TRUE(router->Choose(request, random).Found());
  }
}

TEST(Router, RoundRobinVisitsAll) {
  const auto router = MakeRouter("round_robin");
  AddServers(*router, 5);
  std::set<std::string> visited;
  for (int round = 0; round < 5; ++round) {
    visited.insert(IdOf(*router, router->Choose({}, random)));
  }
  LONGS_EQUAL(5, visited.size());
}

TEST(Router, LeastConnectionsCountsOwnRequests) {
  const auto router = MakeRouter("least_connections");
  AddServers(*router, 6);
  for (int round = 0; round < 60; ++round) {
    router->OnSent(router->Choose({}, random).server, {}, now);
  }
  for (int number = 0; number < 6; ++number) {
    const ServerIndex server =
        router->Servers().Find("s" + std::to_string(number));
    LONGS_EQUAL(10, router->Servers().At(server).in_flight);
  }
}

TEST(Router, CorrectedLoadAddsRequestsSentSinceTheReport) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 1);
  const ServerIndex server = router->Servers().Find("s0");
  const auto load = [&] {
    return static_cast<long>(router->Servers().At(server).CorrectedLoad());
  };
  Report(*router, "s0", 5, now);
  LONGS_EQUAL(5, load());
  router->OnSent(server, {}, now + Milliseconds(10));
  router->OnSent(server, {}, now + Milliseconds(30));
  LONGS_EQUAL(7, load());
  // A report that saw the first of the two.
  Report(*router, "s0", 6, now + Milliseconds(20));
  LONGS_EQUAL(7, load());
  router->OnFinished(server, now + Milliseconds(40));
  LONGS_EQUAL(6, load());
  // A late report changes nothing.
  Report(*router, "s0", 50, now);
  LONGS_EQUAL(6, load());
  DOUBLES_EQUAL(6, router->Servers().MeanLoad(), 1e-9);
}

TEST(Router, TwoChoicesBalancesWithLaggingReports) {
  const auto spread_of = [&](std::string_view strategy) {
    const auto router = MakeRouter(strategy);
    AddServers(*router, 50);
    for (int round = 0; round < 1000; ++round) {
      router->OnSent(router->Choose({}, random).server, {}, now);
    }
    std::uint32_t most = 0;
    for (int number = 0; number < 50; ++number) {
      const ServerIndex server =
          router->Servers().Find("s" + std::to_string(number));
      most = std::max(most, router->Servers().At(server).in_flight);
    }
    return most;
  };
  // The mean is 20.
  CHECK_TRUE(spread_of("two_choices") <= 23);
  CHECK_TRUE(spread_of("random") > 26);
}

TEST(Router, NearDataCenterIsPreferredUntilItIsLoaded) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 10);
  AddServers(*router, 10, "far");
  const auto far_choices = [&] {
    int far = 0;
    for (int round = 0; round < 100; ++round) {
      const RouteChoice choice = router->Choose({}, random);
      far += router->Servers().At(choice.server).data_center == "far" ? 1 : 0;
    }
    return far;
  };
  for (int number = 0; number < 10; ++number) {
    Report(*router, "s" + std::to_string(number), 8, now);
  }
  LONGS_EQUAL(0, far_choices());
  for (int number = 0; number < 10; ++number) {
    Report(*router, "s" + std::to_string(number), 20, now);
  }
  LONGS_EQUAL(100, far_choices());
}

TEST(Router, NewestVersionIsPreferredUntilItIsLoaded) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 10);
  for (int number = 0; number < 5; ++number) {
    router->Servers().SetVersion(
        router->Servers().Find("s" + std::to_string(number)), 8);
  }
  const auto newest_choices = [&] {
    int newest = 0;
    for (int round = 0; round < 100; ++round) {
      const RouteChoice choice = router->Choose({}, random);
      newest += router->Servers().At(choice.server).version == 8 ? 1 : 0;
    }
    return newest;
  };
  LONGS_EQUAL(100, newest_choices());
  for (int number = 0; number < 5; ++number) {
    Report(*router, "s" + std::to_string(number), 3, now);
  }
  LONGS_EQUAL(0, newest_choices());
}

TEST(Router, LiveWorkAvoidsServersWithTrainingWork) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 2);
  Report(*router, "s0", 5, now, 5);
  Report(*router, "s1", 6, now, 0);
  RouteRequest request;
  STRCMP_EQUAL("s0", IdOf(*router, router->Choose(request, random)).c_str());
  request.service_class = RouteClass::kLive;
  STRCMP_EQUAL("s1", IdOf(*router, router->Choose(request, random)).c_str());
}

TEST(Router, FairnessHintsDivertAServiceUntilTheServerIsRemoved) {
  const auto router = MakeRouter("two_choices");
  AddServers(*router, 2);
  const FairnessHint hints[] = {{"s0", 3.0}, {"unknown", 9.0}};
  router->SetFairnessHints("ruta", hints);
  RouteRequest request;
  request.service = "ruta";
  for (int round = 0; round < 20; ++round) {
    STRCMP_EQUAL("s1", IdOf(*router, router->Choose(request, random)).c_str());
  }
  // The hint is removed with its server; a new server with the same index has
  // none.
  router->RemoveServer("s0");
  const ServerIndex next = router->Servers().Upsert("s2", "near", kNear);
  router->Servers().SetVersion(next, 7);
  Report(*router, "s1", 1, now);
  for (int round = 0; round < 20; ++round) {
    STRCMP_EQUAL("s2", IdOf(*router, router->Choose(request, random)).c_str());
  }
}

TEST(Router, PrefixIsRoutedToItsHolderWithinTheLoadBound) {
  const auto router = MakeRouter("prefix_affinity");
  AddServers(*router, 20);
  RouteRequest request;
  request.prefix_hash = 77;
  const RouteChoice assigned = router->Choose(request, random);
  for (int round = 0; round < 3; ++round) {
    CHECK_TRUE(router->Choose(request, random).server == assigned.server);
  }
  // Load beyond the bound diverts the prefix to another server, which holds the
  // prefix from then on.
  Report(*router, IdOf(*router, assigned), 6, now);
  const RouteChoice other = router->Choose(request, random);
  CHECK_TRUE(other.server != assigned.server);
  router->OnSent(other.server, request, now);
  router->OnFinished(other.server, now);
  CHECK_TRUE(router->Choose(request, random).server == other.server);
}

TEST(Router, TwoEntriesAssignAPrefixToTheSameServer) {
  const auto one = MakeRouter("prefix_affinity");
  const auto two = MakeRouter("prefix_affinity");
  AddServers(*one, 20);
  for (int number = 19; number >= 0; --number) {
    const ServerIndex server =
        two->Servers().Upsert("s" + std::to_string(number), "near", kNear);
    two->Servers().SetVersion(server, 7);
  }
  RouteRequest request;
  for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
    request.prefix_hash = prefix;
    STRCMP_EQUAL(IdOf(*one, one->Choose(request, random)).c_str(),
                 IdOf(*two, two->Choose(request, random)).c_str());
  }
}

}  // namespace carobbank
