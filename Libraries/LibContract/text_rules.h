// Accepted forms of strings in documents and settings. Private to LibContract.

#pragma once

#include <string>
#include <string_view>

namespace carobbank {

struct TextRule {
  bool (*accepts)(std::string_view text);
  // Completes "use ...".
  std::string_view range;
};

bool IsName(std::string_view text);
bool IsOptionalName(std::string_view text);
bool IsInstance(std::string_view text);
bool IsAddress(std::string_view text);
// "<IPv4 address>:<port>"
bool IsEndpoint(std::string_view text);
bool IsOptionalEndpoint(std::string_view text);
// Comma-separated endpoints; may be empty.
bool IsEndpointList(std::string_view text);
// Comma-separated names; may be empty.
bool IsNameList(std::string_view text);
bool IsUrl(std::string_view text);
bool IsFile(std::string_view text);
bool IsSecret(std::string_view text);
bool IsSha256(std::string_view text);
bool IsOptionalSha256(std::string_view text);
bool IsMethod(std::string_view text);
bool IsPathPrefix(std::string_view text);
bool IsHeaderName(std::string_view text);

// Names of services, teams and pools appear in headers, metric labels, stream
// names and file names. Ids of instances follow a wider rule, since the
// platform chooses them.
inline constexpr TextRule kNameRule = {
    &IsName, "1 to 64 of a-z 0-9 - _ . that start with a letter or digit"};
inline constexpr TextRule kOptionalNameRule = {
    &IsOptionalName,
    "up to 64 of a-z 0-9 - _ . that start with a letter or digit"};
inline constexpr TextRule kInstanceRule = {
    &IsInstance, "1 to 128 of letters, digits, - _ . and :"};
inline constexpr TextRule kAddressRule = {&IsAddress,
                                          "an IPv4 or IPv6 address"};
inline constexpr TextRule kEndpointRule = {
    &IsEndpoint, "an IPv4 address and a port, 127.0.0.1:8080"};
inline constexpr TextRule kOptionalEndpointRule = {
    &IsOptionalEndpoint, "an IPv4 address and a port, or nothing"};
inline constexpr TextRule kEndpointListRule = {
    &IsEndpointList, "IPv4 addresses with ports, commas between them"};
inline constexpr TextRule kNameListRule = {
    &IsNameList, "names of a-z 0-9 - _ ., commas between them"};
inline constexpr TextRule kUrlRule = {
    &IsUrl, "an http or https URL without a slash at its end"};
inline constexpr TextRule kFileRule = {&IsFile,
                                       "a path of up to 1024 characters"};
inline constexpr TextRule kSecretRule = {&IsSecret,
                                         "16 to 256 visible ASCII characters"};
inline constexpr TextRule kSha256Rule = {&IsSha256,
                                         "64 lower-case hexadecimal digits"};
inline constexpr TextRule kOptionalSha256Rule = {
    &IsOptionalSha256, "64 lower-case hexadecimal digits, or nothing"};
inline constexpr TextRule kMethodRule = {&IsMethod,
                                         "an upper-case HTTP method"};
inline constexpr TextRule kPathPrefixRule = {
    &IsPathPrefix, "a path that starts with / and has no query"};
inline constexpr TextRule kHeaderNameRule = {
    &IsHeaderName, "1 to 64 of letters, digits, - and _"};

// The shortest text that parses to the same number.
std::string RealText(double number);

}  // namespace carobbank
