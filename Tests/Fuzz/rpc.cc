// JSON-RPC: any request text gets exactly one response, and any response text
// can be parsed without a crash.

#include "LibRPC/rpc.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  static RpcDispatcher* const dispatcher = [] {
    auto* created = new RpcDispatcher();
    created->Register("echo",
                      [](const Json::Value& parameters) { return parameters; });
    created->RegisterDeferred("wait", [](const Json::Value& parameters,
                                         const RpcResponseCallback& respond) {
      respond(parameters);
    });
    return created;
  }();
  const std::string text(FuzzText(bytes, size));
  int responses = 0;
  dispatcher->Handle(text, [&](const std::string&) { ++responses; });
  FuzzRequire(responses == 1, "each request gets one response");
  static_cast<void>(ParseRpcResponse(text));
  return 0;
}
