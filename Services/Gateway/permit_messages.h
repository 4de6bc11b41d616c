// Messages between a gateway that asks for a permit and the server's home.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibScheduling/scheduling.h"

namespace carobbank {

std::string EncodePermitRequest(const PermitRequest& request);
// Nothing if the text is malformed.
std::optional<PermitRequest> DecodePermitRequest(std::string_view json);

Json::Value ToJson(const PermitAnswer& answer);
// Nothing if the text is malformed.
std::optional<PermitAnswer> DecodePermitAnswer(std::string_view json);

}  // namespace carobbank
