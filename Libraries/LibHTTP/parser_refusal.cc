// Problem documents for requests that never reach a handler.

#include "LibHTTP/parser_refusal.h"

#include <array>

#include "LibHTTP/status_phrase.h"

namespace carobbank {

namespace {

Problem BodyTooLarge(const HttpServerOptions& options) {
  Problem problem;
  problem.status = 413;
  problem.code = "body_too_large";
  problem.detail = "the body is longer than " +
                   std::to_string(options.max_body_bytes) + " bytes";
  problem.remedy = "send a shorter body";
  return problem;
}

Problem TargetTooLong(const HttpServerOptions& options) {
  Problem problem;
  problem.status = 414;
  problem.code = "target_too_long";
  problem.detail = "the request target is longer than " +
                   std::to_string(options.max_header_bytes) + " bytes";
  problem.remedy = "shorten the path and query";
  return problem;
}

Problem Malformed(const HttpServerOptions& /*options*/) {
  Problem problem;
  problem.status = 400;
  problem.code = "malformed_request";
  problem.detail = "the bytes are not an HTTP/1.1 request";
  problem.remedy = "send a request that follows RFC 9112";
  return problem;
}

struct ParserErrorRefusal {
  // The error's name in http_parser.
  std::string_view name;
  Problem (*make)(const HttpServerOptions&);
};

constexpr std::array kRefusals = {
    ParserErrorRefusal{"HPE_CB_headers_complete", &BodyTooLarge},
    ParserErrorRefusal{"HPE_CB_body", &BodyTooLarge},
    ParserErrorRefusal{"HPE_CB_url", &TargetTooLong},
    ParserErrorRefusal{"HPE_CB_header_field", &RefusalForLongHeaderSection},
    ParserErrorRefusal{"HPE_CB_header_value", &RefusalForLongHeaderSection},
    ParserErrorRefusal{"HPE_HEADER_OVERFLOW", &RefusalForLongHeaderSection},
};

}  // namespace

Problem RefusalForLongHeaderSection(const HttpServerOptions& options) {
  Problem problem;
  problem.status = 431;
  problem.code = "header_too_large";
  problem.detail = "the request's header section is longer than " +
                   std::to_string(options.max_header_bytes) + " bytes";
  problem.remedy = "send fewer or shorter header fields";
  return problem;
}

Problem RefusalForReadTimeout(const HttpServerOptions& options) {
  Problem problem;
  problem.status = 408;
  problem.code = "request_too_slow";
  problem.detail = "the request was not complete within " +
                   std::to_string(options.read_timeout.count()) + " ms";
  problem.remedy = "send the request again on a new connection, without pauses";
  return problem;
}

Problem RefusalForParserError(std::string_view parser_error,
                              const HttpServerOptions& options) {
  for (const ParserErrorRefusal& refusal : kRefusals) {
    if (parser_error.find(refusal.name) != std::string_view::npos) {
      return refusal.make(options);
    }
  }
  return Malformed(options);
}

std::string SerializeRefusal(const Problem& problem) {
  const HttpResponse response = problem.ToResponse();
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(StatusPhrase(response.status)) + "\r\n";
  for (const HttpHeader& header : response.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Connection: close\r\nContent-Length: " +
          std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
  return text;
}

}  // namespace carobbank
