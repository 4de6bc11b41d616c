// Round trips through the dispatcher with immediate and deferred responses, and
// malformed messages. Guards against lost or repeated responses, and crashes on
// malformed JSON.

#include "LibRPC/rpc.h"

#include <stdexcept>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Rpc) {
  RpcDispatcher dispatcher;
  RpcResponseCallback deferred_response;

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
        [this](const Json::Value& parameters, RpcResponseCallback respond) {
          if (parameters["drop"].asBool()) {
            return;
          }
          this->deferred_response = std::move(respond);
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

TEST(Rpc, SynchronousMethodReturnsItsResult) {
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
      {"wait", -32600, "send it as a single request"},
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

TEST(Rpc, DeferredResponseIsSentOnceWithTheRequestId) {
  std::vector<std::string> responses;
  this->dispatcher.Handle(
      R"({"jsonrpc":"2.0","id":"abc","method":"wait","params":{}})",
      [&](std::string body) { responses.push_back(std::move(body)); });
  CHECK_TRUE(responses.empty());
  this->deferred_response(Json::Value(7));
  this->deferred_response(Json::Value(8));
  CHECK_EQUAL(1U, responses.size());
  const RpcOutcome outcome = ParseRpcResponse(responses[0]);
  CHECK_TRUE(outcome.Ok());
  CHECK_EQUAL(7, outcome.Value().asInt());
  CHECK_TRUE(responses[0].find(R"("id":"abc")") != std::string::npos);
}

TEST(Rpc, DestroyedResponseCallbackSendsAnError) {
  std::vector<std::string> responses;
  this->dispatcher.Handle(
      ComposeRpcRequest("wait", Object("drop", true)),
      [&](std::string body) { responses.push_back(std::move(body)); });
  CHECK_EQUAL(1U, responses.size());
  CHECK_EQUAL(RpcError::kInternal, ParseRpcResponse(responses[0]).Error().code);
}

TEST(Rpc, InvalidRequestsGetErrorResponses) {
  const std::string deep = std::string(100'000, '[');
  for (const std::string& request : std::vector<std::string>{
           "", "{", "[]", "7", R"({"method":"echo"})",
           R"({"jsonrpc":"1.0","id":1,"method":"echo","params":{}})",
           R"({"jsonrpc":"2.0","id":1,"method":"echo","params":7})",
           R"([{"jsonrpc":"2.0","id":1,"method":"wait","params":{}}])", deep}) {
    std::string response;
    this->dispatcher.Handle(
        request, [&](std::string body) { response = std::move(body); });
    CHECK_TRUE_TEXT(response.find("\"error\"") != std::string::npos,
                    request.substr(0, 80).c_str());
  }
}

TEST(Rpc, InvalidResponsesAreErrors) {
  for (const char* const body :
       {"", "{", "[]", "7", "null", "{}", R"({"jsonrpc":"2.0","id":1})",
        R"({"jsonrpc":"2.0","id":1,"error":7})", "<html></html>"}) {
    CHECK_FALSE_TEXT(ParseRpcResponse(body).Ok(), body);
  }
}

}  // namespace carobbank
