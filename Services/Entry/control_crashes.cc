// The part of EntryControlPlane that handles crashes: applies those from the
// log and from other entries, and publishes those of this entry.

#include "entry_control_plane.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxRetainedCrashes = 256;

}  // namespace

void EntryControlPlane::OnServerRecord(const LogRecord& record) {
  for (const auto& positioned :
       DecodeServerRecord({record.offset, record.time_ms, record.payload})
           .entries) {
    if (const auto* crash = std::get_if<CrashEntry>(&positioned.entry)) {
      this->OnCrashEntry(*crash);
    } else if (const auto* quarantined =
                   std::get_if<QuarantineEntry>(&positioned.entry)) {
      this->quarantine.OnQuarantined(quarantined->digest);
      this->Changed();
    } else if (const auto* cleared =
                   std::get_if<ClearEntry>(&positioned.entry)) {
      this->OnDigestCleared(cleared->digest);
    }
  }
}

void EntryControlPlane::OnCrashEntry(const CrashEntry& entry) {
  const bool exclusive = entry.lists_all_work && entry.digests.size() == 1;
  for (const std::string& digest : entry.digests) {
    this->RecordCrash({entry.instance, entry.incarnation, digest, exclusive});
  }
}

std::optional<std::string> EntryControlPlane::RecordCrash(
    const ServerCrash& crash) {
  this->crashes.push_back({++this->crash_number, crash});
  if (this->crashes.size() > kMaxRetainedCrashes) {
    this->crashes.pop_front();
  }
  this->Changed();
  return this->quarantine.OnCrash(
      {crash.instance, {crash.digest}, crash.exclusive});
}

void EntryControlPlane::ReportCrash(const ServerCrash& crash) {
  this->view.OnCrash(crash.instance, crash.incarnation);
  if (crash.digest.empty()) {
    return;
  }
  const auto quarantined = this->RecordCrash(crash);
  // Peers are also notified directly, because the log may be unreachable.
  this->NotifyPeers("report_crash", ServerCrashToJson(crash));
  CrashEntry entry;
  entry.instance = crash.instance;
  entry.incarnation = crash.incarnation;
  entry.digests = {crash.digest};
  entry.lists_all_work = crash.exclusive;
  this->WriteServerEntry(entry);
  if (quarantined) {
    this->WriteServerEntry(QuarantineEntry{*quarantined});
  }
}

void EntryControlPlane::ReportFinished(std::string_view digest) {
  this->OnDigestCleared(digest);
  Json::Value parameters;
  parameters["digest"] = std::string(digest);
  this->NotifyPeers("report_cleared", parameters);
  this->WriteServerEntry(ClearEntry{std::string(digest)});
}

void EntryControlPlane::WriteServerEntry(const ServerEntry& entry) {
  // The record is dropped when the buffer is full; peers have been notified
  // directly.
  static_cast<void>(Capture([&]() -> Result<EntryTicket> {
    return this->server_writer.Append(EncodeServerEntry(entry),
                                      [](LogPosition) {});
  }));
}

void EntryControlPlane::NotifyPeers(std::string_view method,
                                    const Json::Value& parameters) {
  for (const KnownEntry& entry : this->entries) {
    if (entry.instance != this->settings.place.instance) {
      this->peers.Call(entry.address, method, parameters, kPeerTimeout,
                       [](const Outcome<Json::Value>&) {});
    }
  }
}

void EntryControlPlane::OnPeerCrash(const ServerCrash& crash) {
  this->RecordCrash(crash);
}

void EntryControlPlane::OnDigestCleared(std::string_view digest) {
  this->quarantine.OnFinished(digest);
  std::erase_if(this->crashes, [&](const SharedCrash& shared) {
    return shared.crash.digest == digest;
  });
}

}  // namespace carobbank
