// Settings and documents from files: reading, and secrets kept in files of
// their own.

#pragma once

#include <string>
#include <string_view>

#include "LibContract/service_document.h"
#include "LibContract/settings.h"

namespace carobbank {

// The file's whole text. Errors: kNotFound (not readable), kInvalidArgument
// (larger than `max_bytes`).
Result<std::string> ReadTextFile(std::string_view path, std::size_t max_bytes);

// Read, check and resolve secret files: afterwards peer.secret and
// peer.previous_secret hold the secrets. A file that can't be read is a finding
// like any other.
ValidationResult<EntrySettings> LoadEntrySettings(std::string_view path);
ValidationResult<SidecarSettings> LoadSidecarSettings(std::string_view path);
ValidationResult<GatewaySettings> LoadGatewaySettings(std::string_view path);
ValidationResult<ServiceDocument> LoadServiceDocument(std::string_view path);

}  // namespace carobbank
