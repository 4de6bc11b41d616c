// Requests through the dispatcher and back, at once and later, and bad texts.

#include "LibRPC/rpc.h"

#include <stdexcept>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Rpc) {
  RpcDispatcher dispatcher;
  RpcResponseCallback later;

  void setup() override {
    this->dispatcher.Register(
        "echo", [](const Json::Value& parameters) { return parameters; });
    this->dispatcher.Register("refuse", [](const Json::Value&) -> RpcOutcome {
      return RpcError{RpcError::kInvalidParameters, "no such digest", "x"};
    });
    this->dispatcher.Register("throw", [](const Json::Value&) -> RpcOutcome {
      throw std::runtime_error("broken");
    });
    this->dispatcher.RegisterDeferred(
        "wait",
        [this](const Json::Value& parameters, RpcResponseCallback reply) {
          if (parameters["drop"].asBool()) {
            return;
          }
          this->later = std::move(reply);
        });
  }

  static Json::Value Object(const char* key, const Json::Value& value) {
    Json::Value object(Json::objectValue);
    object[key] = value;
    return object;
  }

  RpcOutcome Call(const std::string& method, const Json::Value& parameters) {
    return ParseRpcResponse(
        this->dispatcher.Handle(ComposeRpcRequest(method, parameters)));
  }
};

TEST(Rpc, MethodsAnswerAtOnce) {
  const Json::Value parameters = Object("wait_ms", 5);
  const RpcOutcome outcome = this->Call("echo", parameters);
  CHECK_TRUE(outcome.Ok());
  CHECK_TRUE(outcome.Value() == parameters);
}

TEST(Rpc, ErrorsKeepTheirCode) {
  struct Case {
    const char* method;
    int code;
    const char* message;
  };
  const std::vector<Case> cases = {
      {"refuse", RpcError::kInvalidParameters, "no such digest"},
      {"throw", RpcError::kInternal, "broken"},
      {"unknown", -32601, "METHOD_NOT_FOUND"},
      {"wait", -32600, "send it alone"},
  };
  for (const Case& each : cases) {
    const RpcOutcome outcome =
        this->Call(each.method, Json::Value(Json::objectValue));
    CHECK_FALSE_TEXT(outcome.Ok(), each.method);
    CHECK_EQUAL_TEXT(each.code, outcome.Error().code, each.method);
    CHECK_TRUE_TEXT(
        outcome.Error().message.find(each.message) != std::string::npos,
        each.method);
  }
}

TEST(Rpc, DeferredAnswerComesOnceAndCarriesTheId) {
  std::vector<std::string> answers;
  this->dispatcher.Handle(
      R"({"jsonrpc":"2.0","id":"abc","method":"wait","params":{}})",
      [&](std::string text) { answers.push_back(std::move(text)); });
  CHECK_TRUE(answers.empty());
  this->later(Json::Value(7));
  this->later(Json::Value(8));
  CHECK_EQUAL(1U, answers.size());
  const RpcOutcome outcome = ParseRpcResponse(answers[0]);
  CHECK_TRUE(outcome.Ok());
  CHECK_EQUAL(7, outcome.Value().asInt());
  CHECK_TRUE(answers[0].find(R"("id":"abc")") != std::string::npos);
}

TEST(Rpc, DroppedReplyIsAnError) {
  std::vector<std::string> answers;
  this->dispatcher.Handle(
      ComposeRpcRequest("wait", Object("drop", true)),
      [&](std::string text) { answers.push_back(std::move(text)); });
  CHECK_EQUAL(1U, answers.size());
  CHECK_EQUAL(RpcError::kInternal, ParseRpcResponse(answers[0]).Error().code);
}

TEST(Rpc, BadRequestsAreAnsweredWithErrors) {
  const std::string deep = std::string(100'000, '[');
  for (const std::string& request : std::vector<std::string>{
           "", "{", "[]", "7", R"({"method":"echo"})",
           R"({"jsonrpc":"1.0","id":1,"method":"echo","params":{}})",
           R"({"jsonrpc":"2.0","id":1,"method":"echo","params":7})",
           R"([{"jsonrpc":"2.0","id":1,"method":"wait","params":{}}])", deep}) {
    std::string answer;
    this->dispatcher.Handle(
        request, [&](std::string text) { answer = std::move(text); });
    CHECK_TRUE_TEXT(answer.find("\"error\"") != std::string::npos,
                    request.substr(0, 80).c_str());
  }
}

TEST(Rpc, BadAnswersAreErrors) {
  for (const char* const text :
       {"", "{", "[]", "7", "null", "{}", R"({"jsonrpc":"2.0","id":1})",
        R"({"jsonrpc":"2.0","id":1,"error":7})", "<html></html>"}) {
    CHECK_FALSE_TEXT(ParseRpcResponse(text).Ok(), text);
  }
}

}  // namespace carobbank
