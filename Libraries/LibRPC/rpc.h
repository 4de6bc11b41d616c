// Public header of LibRPC: JSON-RPC 2.0 between the system's processes, over
// libjsonrpccpp. It stays C++14 and names no type of that library, because
// libjsonrpccpp 0.7.0 does not compile as C++17.
//
// Texts go in and out: the caller mounts RpcDispatcher on a path of its HTTP
// server and sends ComposeRpcRequest() with its HTTP client. libjsonrpccpp's
// IClientConnector blocks its thread for the answer, so it cannot stand over an
// asynchronous client; and its server composes each answer when the method
// returns, so answers that come later are composed here.

#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace carobbank {

// The error member of an answer (JSON-RPC 2.0, section 5.1).
struct RpcError {
  static constexpr int kInvalidParameters = -32602;
  static constexpr int kInternal = -32603;
  // The answer itself could not be read.
  static constexpr int kInvalidResponse = -32003;

  int code;
  std::string message;
  Json::Value data;
};

// What a method returned: a value or an error.
class RpcOutcome {
 public:
  // Implicit, so that a handler returns either.
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

// `parameters` is an object or an array; null when the request names none.
using RpcMethod = std::function<RpcOutcome(const Json::Value& parameters)>;

// Gives the answer of one request; only its first call counts. Letting go of
// the last copy without a call answers with an internal error.
using RpcResponseCallback = std::function<void(RpcOutcome outcome)>;
using DeferredRpcMethod = std::function<void(const Json::Value& parameters,
                                             RpcResponseCallback reply)>;

// The methods of one process. Not safe to share between threads.
class RpcDispatcher {
 public:
  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  // A method that answers at once.
  void Register(const std::string& method, RpcMethod handler);
  // A method that may answer later (long poll). Not within a batch, whose
  // answers travel together.
  void RegisterDeferred(const std::string& method, DeferredRpcMethod handler);

  // The answer's text. A deferred method is refused here.
  std::string Handle(const std::string& request);
  // Calls `answer` once with the answer's text, now or later. It may be called
  // after the dispatcher is gone.
  void Handle(const std::string& request,
              std::function<void(std::string text)> answer);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

// One request. The id is always 1: each request travels in an HTTP exchange of
// its own, which ties its answer to it.
std::string ComposeRpcRequest(const std::string& method,
                              const Json::Value& parameters);

// The outcome that an answer's text tells; kInvalidResponse when it is none.
RpcOutcome ParseRpcResponse(const std::string& text);

}  // namespace carobbank
