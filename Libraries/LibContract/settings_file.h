// Loads settings and documents from files, and reads secrets from the files
// that settings name.

#pragma once

#include <string>
#include <string_view>

#include "LibContract/service_document.h"
#include "LibContract/settings.h"

namespace carobbank {

// The complete text of a file. Errors: kNotFound (not readable),
// kInvalidArgument (larger than `max_bytes`).
Result<std::string> ReadTextFile(std::string_view path, std::size_t max_bytes);

// Load and validate a file. The settings of entries and sidecars also get
// their secret files resolved: peer.secret and peer.previous_secret then
// contain the secrets. An unreadable file is reported as an issue.
ValidationResult<EntrySettings> LoadEntrySettings(std::string_view path);
ValidationResult<SidecarSettings> LoadSidecarSettings(std::string_view path);
ValidationResult<GatewaySettings> LoadGatewaySettings(std::string_view path);
ValidationResult<ServiceDocument> LoadServiceDocument(std::string_view path);

}  // namespace carobbank
