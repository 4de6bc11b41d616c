// Composes requests and parses responses with libjsonrpccpp's client, over a
// connector that does no I/O.

#include <jsonrpccpp/client.h>

#include <exception>

#include "LibRPC/rpc.h"

namespace carobbank {

namespace {

// Stores the request and returns a prepared response.
class PreparedResponseConnector final : public jsonrpc::IClientConnector {
 public:
  explicit PreparedResponseConnector(std::string response)
      : response(std::move(response)) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    this->request = message;
    result = this->response;
  }

  const std::string& Request() const { return this->request; }

 private:
  std::string request;
  std::string response;
};

}  // namespace

std::string ComposeRpcRequest(const std::string& method,
                              const Json::Value& parameters) {
  PreparedResponseConnector connector(
      R"({"jsonrpc":"2.0","id":1,"result":null})");
  jsonrpc::Client client(connector);
  client.CallMethod(method, parameters);
  return connector.Request();
}

RpcOutcome ParseRpcResponse(const std::string& body) {
  PreparedResponseConnector connector(body);
  jsonrpc::Client client(connector);
  try {
    return client.CallMethod("", Json::Value());
  } catch (const jsonrpc::JsonRpcException& exception) {
    return RpcError{exception.GetCode(), exception.GetMessage(),
                    exception.GetData()};
  } catch (const std::exception& exception) {
    // JsonCpp throws on JSON that is nested too deep or of a wrong type.
    return RpcError{RpcError::kInvalidResponse, exception.what(),
                    Json::Value()};
  }
}

}  // namespace carobbank
