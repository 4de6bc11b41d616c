// Requests and answers of JSON-RPC: any text gets an outcome.

#include "LibRPC/rpc.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  static RpcDispatcher* const dispatcher = [] {
    auto* made = new RpcDispatcher();
    made->Register("echo", [](const Json::Value& given) { return given; });
    made->RegisterDeferred(
        "wait", [](const Json::Value& given, const RpcResponseCallback& reply) {
          reply(given);
        });
    return made;
  }();
  const std::string text(FuzzText(bytes, size));
  int answers = 0;
  dispatcher->Handle(text, [&](const std::string&) { ++answers; });
  FuzzRequire(answers == 1, "each request is answered once");
  static_cast<void>(ParseRpcResponse(text));
  return 0;
}
