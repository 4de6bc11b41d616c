// Guards against a token that is lost, repeated or out of order in a stream
// that arrives in arbitrary pieces, truncated or damaged, and against crashes
// on arbitrary headers.

#include "Sidecar/answer_inspector.h"
#include "Sidecar/work_request.h"
#include "Support/manual_clock.h"
#include "work_dispatcher_harness.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::string CompleteResponse(std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t token = 0; token < tokens; ++token) {
    text += WorkDispatcherHarness::ChunkText("a1", token, 7);
  }
  return text + WorkDispatcherHarness::LastChunkText("a1", tokens) +
         "data: [DONE]\n\n";
}

struct Inspection {
  std::string passed;
  std::uint64_t tokens = 0;
  bool failed = false;
};

// Feeds the text in pieces of random length until the first problem.
Inspection InspectInPieces(std::string_view text, Random& random) {
  AnswerInspector inspector("a1", {6, 7}, 0);
  Inspection result;
  while (!text.empty() && !result.failed) {
    const std::size_t piece =
        std::min<std::size_t>(text.size(), 1 + random.Below(60));
    const InspectedBytes inspected = inspector.Feed(text.substr(0, piece));
    text.remove_prefix(piece);
    result.passed += inspected.accepted;
    result.tokens += inspected.tokens;
    result.failed = inspected.problem.has_value();
  }
  result.failed = result.failed || inspector.End().has_value();
  return result;
}

}  // namespace

TEST_GROUP(ParserProperty){};

TEST(ParserProperty, ACompleteResponseIsAcceptedUnchangedInAnyPieces) {
  CHECK_TRUE(rc::check("pieces change nothing", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const std::uint64_t tokens = random.Below(20);
    const std::string text = CompleteResponse(tokens);
    const Inspection result = InspectInPieces(text, random);
    RC_ASSERT(!result.failed);
    RC_ASSERT(result.passed == text);
    RC_ASSERT(result.tokens == tokens);
  }));
}

TEST(ParserProperty, ATruncatedResponseIsNeverAcceptedAsComplete) {
  CHECK_TRUE(rc::check("a prefix is not complete", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const std::string text = CompleteResponse(random.Below(20));
    const std::size_t kept = random.Below(text.size() - 1);
    const Inspection result =
        InspectInPieces(std::string_view(text).substr(0, kept), random);
    RC_ASSERT(result.failed);
  }));
}

TEST(ParserProperty, DamageNeverRepeatsOrSkipsAnAcceptedToken) {
  CHECK_TRUE(rc::check("accepted events are complete and consecutive", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const std::string complete = CompleteResponse(10);
    std::string text = complete;
    for (std::uint64_t damage = random.Below(4); damage > 0; --damage) {
      const std::size_t position = random.Below(text.size());
      switch (random.Below(3)) {
        case 0:
          text.erase(position, random.Below(200));
          break;
        case 1:
          text.insert(position, text.substr(random.Below(text.size()), 200));
          break;
        default:
          text[position] = static_cast<char>(random.Below(256));
          break;
      }
    }
    AnswerInspector checker("a1", {6, 7}, 0);
    const Inspection result = InspectInPieces(text, random);
    // The accepted bytes are valid by themselves: their tokens are contiguous
    // from 0.
    const InspectedBytes again = checker.Feed(result.passed);
    RC_ASSERT(!again.problem.has_value());
    RC_ASSERT(again.tokens == result.tokens);
  }));
}

TEST(ParserProperty, HeadersOfAnyContentGiveARequestOrATypedError) {
  CHECK_TRUE(rc::check("headers never crash", [] {
    ManualClock clock;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.body = *rc::gen::arbitrary<std::string>();
    for (const char* name :
         {"X-Carobbank-Service", "X-Carobbank-Attempt", "X-Carobbank-Versions",
          "X-Carobbank-Budget", "X-Carobbank-Deadline", "X-Carobbank-Slack",
          "X-Carobbank-Expected-Tokens", "X-Carobbank-Config"}) {
      const auto text = *rc::gen::oneOf(
          rc::gen::arbitrary<std::string>(),
          rc::gen::map(
              rc::gen::arbitrary<std::int64_t>(),
              [](std::int64_t number) { return std::to_string(number); }));
      request.headers.push_back({name, text});
    }
    const auto parsed =
        Capture([&] { return ParseWorkRequest(request, clock, true); });
    // RC_ASSERT evaluates both sides of an ||.
    const bool typed =
        parsed.Ok() || parsed.GetError().kind == ErrorKind::kInvalidArgument;
    RC_ASSERT(typed);
  }));
}

}  // namespace carobbank
