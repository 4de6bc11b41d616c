// Field tables of the settings of all programs, and checks that the programs
// share. Private to LibContract.

#pragma once

#include "LibContract/field_codecs.h"
#include "LibContract/settings.h"

namespace carobbank {

template <>
const std::vector<Field<InstanceSettings>>& FieldsOf();
template <>
const std::vector<Field<PlatformSettings>>& FieldsOf();
template <>
const std::vector<Field<PeerSecretSettings>>& FieldsOf();
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

// Requires exactly one of secret and secret_file, and at most one of
// previous_secret and previous_secret_file.
void CheckPeerSecrets(const PeerSecretSettings& peer,
                      const YAML::Node& node,
                      YamlDiagnostics& diagnostics);

}  // namespace carobbank
