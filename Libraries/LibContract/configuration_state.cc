// Digest of the services in force, and conversion from and to ServiceRevision.

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

std::vector<ServiceRevision> ToServiceRevisions(
    const ServicesInForce& services) {
  std::vector<ServiceRevision> revisions;
  for (const auto& [name, service] : services) {
    revisions.push_back({name, service->revision, service->text,
                         service->publisher, service->publish_id});
  }
  return revisions;
}

Result<ServicesInForce> FromServiceRevisions(
    std::span<const ServiceRevision> revisions) {
  ServicesInForce services;
  for (const ServiceRevision& source : revisions) {
    auto parsed = ParseServiceDocument(source.service, source.document);
    const bool valid = parsed.Ok() && parsed.value.name == source.service;
    ServiceInForce service;
    service.revision = source.revision;
    service.document = std::move(parsed.value);
    service.text = source.document;
    service.digest = DocumentDigest(service.document);
    service.publisher = source.publisher;
    service.publish_id = source.publish_id;
    const bool added =
        services
            .emplace(source.service,
                     std::make_shared<const ServiceInForce>(std::move(service)))
            .second;
    if (!valid || !added) {
      return Fail(ErrorKind::kCorrupt,
                  "the service '" + source.service +
                      "' of a snapshot or export is invalid or listed twice",
                  "run processes of the same version on both sides");
    }
  }
  return services;
}

}  // namespace carobbank
