// Digest and record form of the services in force.

#include "LibContract/configuration_state.h"

namespace carobbank {

const ServiceInForce* ConfigurationState::Find(std::string_view service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second.get();
}

std::string ServicesDigest(const ServicesInForce& services) {
  std::string text;
  for (const auto& [name, service] : services) {
    text += name + " " + std::to_string(service->revision) + " " +
            service->digest + "\n";
  }
  return Sha256Hex(text);
}

std::vector<ServiceRecord> ToServiceRecords(const ServicesInForce& services) {
  std::vector<ServiceRecord> records;
  for (const auto& [name, service] : services) {
    records.push_back({name, service->revision, service->text,
                       service->publisher, service->publish_id});
  }
  return records;
}

Result<ServicesInForce> FromServiceRecords(
    std::span<const ServiceRecord> records) {
  ServicesInForce services;
  for (const ServiceRecord& record : records) {
    auto checked = ParseServiceDocument(record.service, record.document);
    const bool valid = checked.Ok() && checked.value.name == record.service;
    ServiceInForce service;
    service.revision = record.revision;
    service.document = std::move(checked.value);
    service.text = record.document;
    service.digest = DocumentDigest(service.document);
    service.publisher = record.publisher;
    service.publish_id = record.publish_id;
    const bool added =
        services
            .emplace(record.service,
                     std::make_shared<const ServiceInForce>(std::move(service)))
            .second;
    if (!valid || !added) {
      return Fail(ErrorKind::kCorrupt,
                  "the service '" + record.service + "' can't be in force",
                  "run processes of the same version on both sides");
    }
  }
  return services;
}

}  // namespace carobbank
