// Which documents are in force, as an immutable value that threads share.

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
  // The offset of the record that put it in force.
  std::int64_t revision = kNoRevision;
  ServiceDocument document;
  // The document as its team wrote it.
  std::string text;
  // DocumentDigest of the document.
  std::string digest;
  std::string publisher;
  std::string publish_id;
};

using ServicesInForce =
    std::map<std::string, std::shared_ptr<const ServiceInForce>, std::less<>>;

struct ConfigurationState {
  // The last record that was taken in; kNoRevision before the first.
  std::int64_t offset = kNoRevision;
  ServicesInForce services;
  // ServicesDigest of `services`: the same on every process with the same
  // services at the same revisions, whatever else the log holds.
  std::string digest;

  // Nothing when no such service is in force.
  const ServiceInForce* Find(std::string_view service) const;
};

std::string ServicesDigest(const ServicesInForce& services);

// Both directions of the record form. Reading fails with kCorrupt on an
// invalid document or a name given twice.
std::vector<ServiceRecord> ToServiceRecords(const ServicesInForce& services);
Result<ServicesInForce> FromServiceRecords(
    std::span<const ServiceRecord> records);

}  // namespace carobbank
