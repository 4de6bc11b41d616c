// The documents in force, as an immutable value that threads share.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "LibContract/configuration_record.h"
#include "LibContract/service_document.h"

namespace carobbank {

struct ServiceInForce {
  // The offset of the record that put the document in force.
  std::int64_t revision = kNoRevision;
  ServiceDocument document;
  // The document's text as its team wrote it.
  std::string text;
  // DocumentDigest of the document.
  std::string digest;
  std::string publisher;
  std::string publish_id;
};

using ServicesInForce =
    std::map<std::string, std::shared_ptr<const ServiceInForce>, std::less<>>;

struct ConfigurationState {
  // The last record applied; kNoRevision before the first.
  std::int64_t offset = kNoRevision;
  ServicesInForce services;
  // ServicesDigest of `services`: the same on every process with the same
  // services at the same revisions, whatever other records the log contains.
  std::string digest;

  // Null when no such service is in force.
  const ServiceInForce* Find(std::string_view service) const;
};

std::string ServicesDigest(const ServicesInForce& services);

// Conversion to and from the form in snapshots and exports.
// FromServiceRevisions fails with kCorrupt on an invalid document or a repeated
// service name.
std::vector<ServiceRevision> ToServiceRevisions(
    const ServicesInForce& services);
Result<ServicesInForce> FromServiceRevisions(
    std::span<const ServiceRevision> revisions);

}  // namespace carobbank
