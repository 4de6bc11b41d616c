// Public header of LibRPC: JSON-RPC 2.0 between the system's processes, over
// libjsonrpccpp. This header is C++14 and exposes no type of that library,
// because libjsonrpccpp 0.7.0 does not compile as C++17.
//
// LibRPC only converts message bodies: the user routes a path of its HTTP
// server to RpcDispatcher and sends ComposeRpcRequest() with its HTTP client.
// libjsonrpccpp's IClientConnector blocks its thread until the response, so an
// asynchronous client cannot implement it. libjsonrpccpp's server composes each
// response when the method returns, so LibRPC composes deferred responses.

#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace carobbank {

// The error member of a response (JSON-RPC 2.0, section 5.1).
struct RpcError {
  static constexpr int kInvalidParameters = -32602;
  static constexpr int kInternal = -32603;
  // The response could not be parsed.
  static constexpr int kInvalidResponse = -32003;

  int code;
  std::string message;
  Json::Value data;
};

// A method's result: a value or an error.
class RpcOutcome {
 public:
  // Implicit, so that a handler can return either.
  // NOLINTNEXTLINE(google-explicit-constructor)
  RpcOutcome(Json::Value value) : ok(true), value(std::move(value)), error() {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  RpcOutcome(RpcError error) : ok(false), error(std::move(error)) {}

  bool Ok() const { return this->ok; }
  const Json::Value& Value() const { return this->value; }
  const RpcError& Error() const { return this->error; }

 private:
  bool ok;
  Json::Value value;
  RpcError error;
};

// `parameters` is an object or an array; null when the request has none.
using RpcMethod = std::function<RpcOutcome(const Json::Value& parameters)>;

// Sends the response to one request; calls after the first are ignored.
// Destroying the last copy without a call sends an internal error.
using RpcResponseCallback = std::function<void(RpcOutcome outcome)>;
using DeferredRpcMethod = std::function<void(const Json::Value& parameters,
                                             RpcResponseCallback respond)>;

// Dispatches requests to the methods of one process. Not thread-safe.
class RpcDispatcher {
 public:
  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  // Registers a method that returns its result synchronously.
  void Register(const std::string& method, RpcMethod handler);
  // Registers a method that may respond later (long poll). Such a method can't
  // be called in a batch, whose responses are sent together.
  void RegisterDeferred(const std::string& method, DeferredRpcMethod handler);

  // Returns the response's body. Requests for a deferred method fail here.
  std::string Handle(const std::string& request);
  // Calls `respond` once with the response's body, immediately or later. The
  // call may come after the dispatcher's destruction.
  void Handle(const std::string& request,
              std::function<void(std::string body)> respond);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

// Returns the body of one request. The id is always 1: each request has its own
// HTTP exchange, which identifies its response.
std::string ComposeRpcRequest(const std::string& method,
                              const Json::Value& parameters);

// Parses a response's body; kInvalidResponse when `body` is not a
// valid response.
RpcOutcome ParseRpcResponse(const std::string& body);

}  // namespace carobbank
