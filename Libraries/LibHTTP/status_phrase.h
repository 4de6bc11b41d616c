// The reason phrases of HTTP status codes (RFC 9110, section 15).

#pragma once

#include <string_view>

namespace carobbank {

// "Not Found" for 404; the name of the status class for an unregistered code.
std::string_view StatusPhrase(int status);

}  // namespace carobbank
