// RpcDispatcher over libjsonrpccpp's protocol handler for JSON-RPC 2.0.

#include <jsonrpccpp/server.h>

#include <exception>
#include <map>
#include <utility>

#include "LibRPC/rpc.h"

namespace carobbank {

namespace {

// Takes the answers that the library sends.
class TextConnector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* answer) override {
    *static_cast<std::string*>(answer) = response;
    return true;
  }
};

std::string WriteLine(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string ComposeAnswer(const Json::Value& id, const RpcOutcome& outcome) {
  Json::Value answer(Json::objectValue);
  answer["jsonrpc"] = "2.0";
  answer["id"] = id;
  if (outcome.Ok()) {
    answer["result"] = outcome.Value();
    return WriteLine(answer);
  }
  answer["error"]["code"] = outcome.Error().code;
  answer["error"]["message"] = outcome.Error().message;
  if (!outcome.Error().data.isNull()) {
    answer["error"]["data"] = outcome.Error().data;
  }
  return WriteLine(answer);
}

RpcError InternalError(const std::string& message) {
  return {RpcError::kInternal, message, Json::Value()};
}

// The id of a request that the library has accepted already.
Json::Value IdOf(const std::string& request) {
  Json::Value parsed;
  Json::Reader reader;
  reader.parse(request, parsed);
  return parsed["id"];
}

// One answer that is still owed. Its destructor pays it with an error.
class PendingAnswer {
 public:
  PendingAnswer(Json::Value id, std::function<void(std::string)> send)
      : id(std::move(id)), send(std::move(send)) {}
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;
  ~PendingAnswer() {
    this->Answer(InternalError("the method ended without an answer"));
  }

  void Answer(const RpcOutcome& outcome) {
    if (!this->send) {
      return;
    }
    const std::function<void(std::string)> first = std::move(this->send);
    this->send = nullptr;
    first(ComposeAnswer(this->id, outcome));
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
    this->Declare(method);
    this->methods[method] = std::move(handler);
  }

  void AddDeferred(const std::string& method, DeferredRpcMethod handler) {
    this->Declare(method);
    this->deferred_methods[method] = std::move(handler);
  }

  void HandleText(const std::string& request,
                  std::function<void(std::string)> answer) {
    this->chosen = nullptr;
    std::string text;
    this->Process(request, text);
    if (this->chosen == nullptr) {
      answer(std::move(text));
      return;
    }
    const DeferredRpcMethod* const handler = this->chosen;
    this->chosen = nullptr;
    const Json::Value parameters = std::move(this->chosen_parameters);
    const auto pending =
        std::make_shared<PendingAnswer>(IdOf(request), std::move(answer));
    (*handler)(parameters,
               [pending](RpcOutcome outcome) { pending->Answer(outcome); });
  }

  // Called by the library for each valid request.
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
          "this method answers later: send it alone, not in a batch");
    }
    this->chosen = &deferred->second;
    this->chosen_parameters = input;
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

  void SetDeferredAllowed(bool allowed) { this->deferred_allowed = allowed; }

 private:
  void Declare(const std::string& method) {
    // The closing null ends the list of declared parameters: none is checked.
    this->protocol->AddProcedure(jsonrpc::Procedure(
        method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
  }

  void Process(const std::string& request, std::string& text) {
    try {
      this->connector.OnRequest(request, &text);
    } catch (const std::exception& exception) {
      // JsonCpp throws on texts that are nested too deep.
      this->chosen = nullptr;
      text = ComposeAnswer(Json::Value(),
                           RpcError{jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR,
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

  TextConnector connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  std::map<std::string, RpcMethod> methods;
  std::map<std::string, DeferredRpcMethod> deferred_methods;
  bool deferred_allowed = false;
  // Set while a request is processed whose method answers later.
  const DeferredRpcMethod* chosen = nullptr;
  Json::Value chosen_parameters;
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
  std::string answer;
  this->implementation->SetDeferredAllowed(false);
  this->implementation->HandleText(
      request, [&answer](std::string text) { answer = std::move(text); });
  return answer;
}

void RpcDispatcher::Handle(const std::string& request,
                           std::function<void(std::string text)> answer) {
  // RFC 8259: white space may stand before the array of a batch.
  const std::size_t first = request.find_first_not_of(" \t\r\n");
  const bool batch = first != std::string::npos && request[first] == '[';
  this->implementation->SetDeferredAllowed(!batch);
  this->implementation->HandleText(request, std::move(answer));
}

}  // namespace carobbank
