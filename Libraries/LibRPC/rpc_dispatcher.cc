// RpcDispatcher over libjsonrpccpp's protocol handler for JSON-RPC 2.0.

#include <jsonrpccpp/server.h>

#include <exception>
#include <map>
#include <utility>

#include "LibRPC/rpc.h"

namespace carobbank {

namespace {

// Stores the response that libjsonrpccpp sends in the string behind the context
// pointer.
class ResponseConnector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* body) override {
    *static_cast<std::string*>(body) = response;
    return true;
  }
};

std::string WriteCompactJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string ComposeResponse(const Json::Value& id, const RpcOutcome& outcome) {
  Json::Value response(Json::objectValue);
  response["jsonrpc"] = "2.0";
  response["id"] = id;
  if (outcome.Ok()) {
    response["result"] = outcome.Value();
    return WriteCompactJson(response);
  }
  response["error"]["code"] = outcome.Error().code;
  response["error"]["message"] = outcome.Error().message;
  if (!outcome.Error().data.isNull()) {
    response["error"]["data"] = outcome.Error().data;
  }
  return WriteCompactJson(response);
}

RpcError InternalError(const std::string& message) {
  return {RpcError::kInternal, message, Json::Value()};
}

// The id of a request that libjsonrpccpp has accepted.
Json::Value IdOf(const std::string& request) {
  Json::Value parsed;
  Json::Reader reader;
  reader.parse(request, parsed);
  return parsed["id"];
}

// A deferred response. Its destructor sends an internal error if no response
// was sent.
class PendingResponse {
 public:
  PendingResponse(Json::Value id, std::function<void(std::string)> send)
      : id(std::move(id)), send(std::move(send)) {}
  PendingResponse(const PendingResponse&) = delete;
  PendingResponse& operator=(const PendingResponse&) = delete;
  ~PendingResponse() {
    this->Respond(InternalError("the method ended without a response"));
  }

  void Respond(const RpcOutcome& outcome) {
    if (!this->send) {
      return;
    }
    const std::function<void(std::string)> send_once = std::move(this->send);
    this->send = nullptr;
    send_once(ComposeResponse(this->id, outcome));
  }

 private:
  Json::Value id;
  // Empty once called.
  std::function<void(std::string)> send;
};

}  // namespace

class RpcDispatcher::Implementation final
    : public jsonrpc::IProcedureInvokationHandler {
 public:
  Implementation()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    this->connector.SetHandler(this->protocol.get());
  }

  void Add(const std::string& method, RpcMethod handler) {
    this->DeclareProcedure(method);
    this->methods[method] = std::move(handler);
  }

  void AddDeferred(const std::string& method, DeferredRpcMethod handler) {
    this->DeclareProcedure(method);
    this->deferred_methods[method] = std::move(handler);
  }

  void HandleRequest(const std::string& request,
                     std::function<void(std::string)> respond) {
    this->deferred_method = nullptr;
    std::string body;
    this->RunProtocolHandler(request, body);
    if (this->deferred_method == nullptr) {
      respond(std::move(body));
      return;
    }
    const DeferredRpcMethod* const handler = this->deferred_method;
    this->deferred_method = nullptr;
    const Json::Value parameters = std::move(this->deferred_parameters);
    const auto pending =
        std::make_shared<PendingResponse>(IdOf(request), std::move(respond));
    (*handler)(parameters,
               [pending](RpcOutcome outcome) { pending->Respond(outcome); });
  }

  // Called by libjsonrpccpp for each valid request.
  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const std::string& name = procedure.GetProcedureName();
    const auto deferred = this->deferred_methods.find(name);
    if (deferred == this->deferred_methods.end()) {
      output = this->Invoke(this->methods.at(name), input);
      return;
    }
    if (!this->deferred_allowed) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
          "this method responds later: send it as a single request, not in a "
          "batch");
    }
    this->deferred_method = &deferred->second;
    this->deferred_parameters = input;
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

  void SetDeferredAllowed(bool allowed) { this->deferred_allowed = allowed; }

 private:
  void DeclareProcedure(const std::string& method) {
    // The final null ends an empty list of declared parameters, so
    // libjsonrpccpp checks none.
    this->protocol->AddProcedure(jsonrpc::Procedure(
        method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
  }

  void RunProtocolHandler(const std::string& request, std::string& body) {
    try {
      this->connector.OnRequest(request, &body);
    } catch (const std::exception& exception) {
      // JsonCpp throws on JSON that is nested too deep.
      this->deferred_method = nullptr;
      body = ComposeResponse(
          Json::Value(), RpcError{jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR,
                                  exception.what(), Json::Value()});
    }
  }

  static Json::Value Invoke(const RpcMethod& method, const Json::Value& input) {
    try {
      const RpcOutcome outcome = method(input);
      if (outcome.Ok()) {
        return outcome.Value();
      }
      throw jsonrpc::JsonRpcException(
          outcome.Error().code, outcome.Error().message, outcome.Error().data);
    } catch (const jsonrpc::JsonRpcException&) {
      throw;
    } catch (const std::exception& exception) {
      throw jsonrpc::JsonRpcException(RpcError::kInternal, exception.what());
    }
  }

  ResponseConnector connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  std::map<std::string, RpcMethod> methods;
  std::map<std::string, DeferredRpcMethod> deferred_methods;
  bool deferred_allowed = false;
  // Set while a request for a deferred method is processed.
  const DeferredRpcMethod* deferred_method = nullptr;
  Json::Value deferred_parameters;
};

RpcDispatcher::RpcDispatcher() : implementation(new Implementation()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Register(const std::string& method, RpcMethod handler) {
  this->implementation->Add(method, std::move(handler));
}

void RpcDispatcher::RegisterDeferred(const std::string& method,
                                     DeferredRpcMethod handler) {
  this->implementation->AddDeferred(method, std::move(handler));
}

std::string RpcDispatcher::Handle(const std::string& request) {
  std::string response;
  this->implementation->SetDeferredAllowed(false);
  this->implementation->HandleRequest(
      request, [&response](std::string body) { response = std::move(body); });
  return response;
}

void RpcDispatcher::Handle(const std::string& request,
                           std::function<void(std::string body)> respond) {
  // RFC 8259: white space may precede the array of a batch.
  const std::size_t first = request.find_first_not_of(" \t\r\n");
  const bool batch = first != std::string::npos && request[first] == '[';
  this->implementation->SetDeferredAllowed(!batch);
  this->implementation->HandleRequest(request, std::move(respond));
}

}  // namespace carobbank
