// Table of reason phrases.

#include "LibHTTP/status_phrase.h"

#include <algorithm>
#include <array>

namespace carobbank {

namespace {

struct Phrase {
  int status;
  std::string_view text;
};

constexpr std::array kPhrases = {
    Phrase{200, "OK"},
    Phrase{201, "Created"},
    Phrase{202, "Accepted"},
    Phrase{204, "No Content"},
    Phrase{206, "Partial Content"},
    Phrase{301, "Moved Permanently"},
    Phrase{302, "Found"},
    Phrase{303, "See Other"},
    Phrase{304, "Not Modified"},
    Phrase{307, "Temporary Redirect"},
    Phrase{308, "Permanent Redirect"},
    Phrase{400, "Bad Request"},
    Phrase{401, "Unauthorized"},
    Phrase{403, "Forbidden"},
    Phrase{404, "Not Found"},
    Phrase{405, "Method Not Allowed"},
    Phrase{408, "Request Timeout"},
    Phrase{409, "Conflict"},
    Phrase{410, "Gone"},
    Phrase{411, "Length Required"},
    Phrase{412, "Precondition Failed"},
    Phrase{413, "Content Too Large"},
    Phrase{414, "URI Too Long"},
    Phrase{415, "Unsupported Media Type"},
    Phrase{422, "Unprocessable Content"},
    Phrase{425, "Too Early"},
    Phrase{429, "Too Many Requests"},
    Phrase{431, "Request Header Fields Too Large"},
    Phrase{500, "Internal Server Error"},
    Phrase{501, "Not Implemented"},
    Phrase{502, "Bad Gateway"},
    Phrase{503, "Service Unavailable"},
    Phrase{504, "Gateway Timeout"},
    Phrase{505, "HTTP Version Not Supported"},
};

constexpr std::array<std::string_view, 6> kClassNames = {
    "Unknown",     "Informational", "Success",
    "Redirection", "Client Error",  "Server Error"};

}  // namespace

std::string_view StatusPhrase(int status) {
  const auto* const found =
      std::find_if(kPhrases.begin(), kPhrases.end(),
                   [&](const Phrase& each) { return each.status == status; });
  if (found != kPhrases.end()) {
    return found->text;
  }
  const int status_class = status / 100;
  if (status_class < 1 || status_class > 5) {
    return kClassNames[0];
  }
  return kClassNames[static_cast<std::size_t>(status_class)];
}

}  // namespace carobbank
