// Requests and answers through libjsonrpccpp's client, whose connector is only
// a place to put texts.

#include <jsonrpccpp/client.h>

#include <exception>

#include "LibRPC/rpc.h"

namespace carobbank {

namespace {

// Stands for the connection: keeps the request, gives a prepared answer.
class TextConnector final : public jsonrpc::IClientConnector {
 public:
  explicit TextConnector(std::string answer) : answer(std::move(answer)) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    this->request = message;
    result = this->answer;
  }

  const std::string& Request() const { return this->request; }

 private:
  std::string request;
  std::string answer;
};

}  // namespace

std::string ComposeRpcRequest(const std::string& method,
                              const Json::Value& parameters) {
  TextConnector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
  jsonrpc::Client client(connector);
  client.CallMethod(method, parameters);
  return connector.Request();
}

RpcOutcome ParseRpcResponse(const std::string& text) {
  TextConnector connector(text);
  jsonrpc::Client client(connector);
  try {
    return client.CallMethod("", Json::Value());
  } catch (const jsonrpc::JsonRpcException& exception) {
    return RpcError{exception.GetCode(), exception.GetMessage(),
                    exception.GetData()};
  } catch (const std::exception& exception) {
    // JsonCpp throws on texts that are nested too deep or of a wrong type.
    return RpcError{RpcError::kInvalidResponse, exception.what(),
                    Json::Value()};
  }
}

}  // namespace carobbank
