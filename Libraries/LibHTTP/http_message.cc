// Header lookup, query decoding and JSON responses.

#include "LibHTTP/http_message.h"

#include <algorithm>
#include <cctype>

namespace carobbank {

namespace {

constexpr int kHexadecimalBase = 16;

std::optional<int> HexadecimalDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return std::nullopt;
}

// Decodes the "%XX" at `position`; nullopt when there is none.
std::optional<char> EscapedByte(std::string_view text, std::size_t position) {
  if (text[position] != '%' || position + 2 >= text.size()) {
    return std::nullopt;
  }
  const std::optional<int> high = HexadecimalDigit(text[position + 1]);
  const std::optional<int> low = HexadecimalDigit(text[position + 2]);
  if (!high || !low) {
    return std::nullopt;
  }
  return static_cast<char>(*high * kHexadecimalBase + *low);
}

// application/x-www-form-urlencoded (WHATWG URL, section 5.1): '+' is a space,
// an incomplete escape is copied unchanged.
std::string DecodeFormText(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (const std::optional<char> byte = EscapedByte(text, position)) {
      decoded.push_back(*byte);
      position += 2;
    } else {
      decoded.push_back(text[position] == '+' ? ' ' : text[position]);
    }
  }
  return decoded;
}

bool IsUnreserved(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

}  // namespace

bool HeaderNamesEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (HeaderNamesEqual(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

void SetHeader(HttpHeaders& headers, std::string_view name, std::string value) {
  std::erase_if(headers, [&](const HttpHeader& header) {
    return HeaderNamesEqual(header.name, name);
  });
  headers.push_back({std::string(name), std::move(value)});
}

std::string_view HttpRequest::Path() const {
  const std::string_view path_and_query = this->target;
  return path_and_query.substr(0, path_and_query.find('?'));
}

std::optional<std::string> HttpRequest::Query(std::string_view name) const {
  std::string_view rest = this->target;
  const std::size_t question_mark = rest.find('?');
  if (question_mark == std::string_view::npos) {
    return std::nullopt;
  }
  rest.remove_prefix(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (DecodeFormText(pair.substr(0, equals)) != name) {
      continue;
    }
    return equals == std::string_view::npos
               ? std::string()
               : DecodeFormText(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (IsUnreserved(byte)) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 15]);
  }
  return encoded;
}

bool IsRequestTarget(std::string_view text) {
  return !text.empty() &&
         std::ranges::none_of(text, [](unsigned char character) {
           return character <= ' ' || character == 0x7f;
         });
}

bool IsFieldName(std::string_view text) {
  static constexpr std::string_view kOtherCharacters = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::ranges::all_of(text, [](unsigned char character) {
           return std::isalnum(character) != 0 ||
                  kOtherCharacters.find(static_cast<char>(character)) !=
                      std::string_view::npos;
         });
}

bool IsFieldValue(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

HttpResponse JsonResponse(int status, const Json::Value& value) {
  return {status, {{"Content-Type", "application/json"}}, WriteJson(value)};
}

}  // namespace carobbank
