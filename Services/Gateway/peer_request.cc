// Builds requests to peers.

#include "peer_request.h"

#include <utility>

namespace carobbank {

HttpClientRequest MakePeerRequest(std::string_view address,
                                  std::string_view target,
                                  std::string json,
                                  Milliseconds timeout) {
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + std::string(address) + std::string(target);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(json);
  request.timeout = timeout;
  request.connect_timeout = timeout;
  return request;
}

}  // namespace carobbank
