// Header lookup, query decoding and problem documents. Guards against misread
// query parameters and against other services' JSON taken for a problem.

#include "LibHTTP/http.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(HttpMessage){};

TEST(HttpMessage, HeaderNamesIgnoreCase) {
  HttpHeaders headers = {{"Content-Type", "a"}, {"content-type", "b"}};
  CHECK_TRUE(FindHeader(headers, "CONTENT-TYPE") == "a");
  CHECK_FALSE(FindHeader(headers, "Content").has_value());
  SetHeader(headers, "content-Type", "c");
  CHECK_EQUAL(1U, headers.size());
  CHECK_TRUE(FindHeader(headers, "Content-Type") == "c");
}

TEST(HttpMessage, QueryParametersAreDecoded) {
  struct Case {
    const char* target;
    std::optional<std::string> value;
  };
  const std::vector<Case> cases = {
      {"/p?cursor=1", "1"},
      {"/p?a=2&cursor=x+y", "x y"},
      {"/p?cursor=%2Fa%zz%", "/a%zz%"},
      {"/p?curs%6Fr=1", "1"},
      {"/p?cursor", ""},
      {"/p?cursor=", ""},
      {"/p", std::nullopt},
      {"/p?other=cursor", std::nullopt},
      {"/p?&&cursor=a=b", "a=b"},
      {"/p?cursor=1&cursor=2", "1"},
  };
  for (const Case& each : cases) {
    HttpRequest request;
    request.target = each.target;
    CHECK_TRUE_TEXT(request.Query("cursor") == each.value, each.target);
    CHECK_TRUE(request.Path() == "/p");
  }
}

TEST(HttpMessage, ProblemRoundTrips) {
  Problem problem;
  problem.status = 503;
  problem.code = "overloaded";
  problem.detail = "the queue is full";
  problem.remedy = "come back later";
  problem.execution = Execution::kMayHaveRun;
  problem.retry_after = Milliseconds(1'500);
  const HttpResponse response = problem.ToResponse();
  CHECK_EQUAL(503, response.status);
  CHECK_TRUE(FindHeader(response.headers, "Content-Type") ==
             "application/problem+json");
  CHECK_TRUE(FindHeader(response.headers, "Retry-After") == "2");
  const auto read = Problem::FromText(response.status, response.body);
  CHECK_TRUE(read.has_value());
  CHECK_TRUE(read->ToJson() == problem.ToJson());
  CHECK_EQUAL(1'500, problem.ToJson()["retry_after_ms"].asInt());
  CHECK_TRUE(problem.ToJson()["title"] == "Service Unavailable");
}

TEST(HttpMessage, OnlyProblemDocumentsAreParsedAsProblems) {
  for (const char* const text :
       {"", "no", "[]", "1", "{}", R"({"code":"x"})",
        R"({"execution":"not_run"})", R"({"code":"x","execution":"perhaps"})",
        R"({"code":1,"execution":"not_run"})"}) {
    CHECK_FALSE_TEXT(Problem::FromText(500, text).has_value(), text);
  }
}

}  // namespace carobbank
