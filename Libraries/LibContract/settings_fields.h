// The groups of fields that both programs' settings share. Private to
// LibContract.

#pragma once

#include "LibContract/field_codecs.h"
#include "LibContract/settings.h"

namespace carobbank {

template <>
const std::vector<Field<InstanceSettings>>& FieldsOf();
template <>
const std::vector<Field<PlatformSettings>>& FieldsOf();
template <>
const std::vector<Field<PeerSettings>>& FieldsOf();
template <>
const std::vector<Field<LogSettings>>& FieldsOf();
template <>
const std::vector<Field<TrafficLimits>>& FieldsOf();
template <>
const std::vector<Field<MachineSettings>>& FieldsOf();
template <>
const std::vector<Field<DataCenterSettings>>& FieldsOf();
template <>
const std::vector<Field<RoutingSettings>>& FieldsOf();
template <>
const std::vector<Field<TlsSettings>>& FieldsOf();
template <>
const std::vector<Field<EntrySettings>>& FieldsOf();
template <>
const std::vector<Field<BackendSettings>>& FieldsOf();
template <>
const std::vector<Field<SchedulingSettings>>& FieldsOf();
template <>
const std::vector<Field<LeaseSettings>>& FieldsOf();
template <>
const std::vector<Field<SidecarSettings>>& FieldsOf();

template <>
const std::vector<Field<GatewaySettings>>& FieldsOf();

// Exactly one of secret and secret_file; at most one of the previous ones.
void CheckPeerSecrets(const PeerSettings& peer,
                      const YAML::Node& node,
                      YamlContext& context);

}  // namespace carobbank
