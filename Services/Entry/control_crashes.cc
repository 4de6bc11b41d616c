// ControlState's part in crashes: what the log and other entries tell of them,
// and what this entry tells.

#include "control_state.h"

namespace carobbank {

namespace {

constexpr std::size_t kCrashesRemembered = 256;

}  // namespace

void ControlState::OnServerRecord(const LogRecord& record) {
  for (const auto& positioned :
       DecodeServerRecord({record.offset, record.time_ms, record.payload})
           .entries) {
    if (const auto* crash = std::get_if<CrashEntry>(&positioned.entry)) {
      this->OnCrashEntry(*crash);
    } else if (const auto* barred =
                   std::get_if<QuarantineEntry>(&positioned.entry)) {
      this->quarantine.OnQuarantined(barred->digest);
      this->Changed();
    } else if (const auto* cleared =
                   std::get_if<ClearEntry>(&positioned.entry)) {
      this->TakeCleared(cleared->digest);
    }
  }
}

void ControlState::OnCrashEntry(const CrashEntry& entry) {
  const bool alone = entry.lists_all_work && entry.digests.size() == 1;
  for (const std::string& digest : entry.digests) {
    this->RememberCrash({entry.instance, entry.incarnation, digest, alone});
  }
}

std::optional<std::string> ControlState::RememberCrash(
    const ServerCrash& crash) {
  this->crashes.push_back({++this->crash_number, crash});
  if (this->crashes.size() > kCrashesRemembered) {
    this->crashes.pop_front();
  }
  this->Changed();
  return this->quarantine.OnCrash(
      {crash.instance, {crash.digest}, crash.alone});
}

void ControlState::ReportCrash(const ServerCrash& crash) {
  const auto barred = this->RememberCrash(crash);
  this->view.OnCrash(crash.instance, crash.incarnation);
  // Peers are told directly too: the log may be down just now.
  this->TellPeers("report_crash", ServerCrashToJson(crash));
  CrashEntry entry;
  entry.instance = crash.instance;
  entry.incarnation = crash.incarnation;
  entry.digests = {crash.digest};
  entry.lists_all_work = crash.alone;
  this->WriteServerEntry(entry);
  if (barred) {
    this->WriteServerEntry(QuarantineEntry{*barred});
  }
}

void ControlState::ReportFinished(std::string_view digest) {
  this->TakeCleared(digest);
  Json::Value parameters;
  parameters["digest"] = std::string(digest);
  this->TellPeers("report_cleared", parameters);
  this->WriteServerEntry(ClearEntry{std::string(digest)});
}

void ControlState::WriteServerEntry(const ServerEntry& entry) {
  // Lost when the buffer is full; the peers have been told.
  static_cast<void>(Capture([&]() -> Result<EntryTicket> {
    return this->server_writer.Append(EncodeServerEntry(entry),
                                      [](LogPosition) {});
  }));
}

void ControlState::TellPeers(std::string_view method,
                             const Json::Value& parameters) {
  for (const KnownEntry& entry : this->entries) {
    if (entry.instance != this->settings.place.instance) {
      this->peers.Call(entry.address, method, parameters, kPeerTimeout,
                       [](const Outcome<Json::Value>&) {});
    }
  }
}

void ControlState::TakeCrash(const ServerCrash& crash) {
  this->RememberCrash(crash);
}

void ControlState::TakeCleared(std::string_view digest) {
  this->quarantine.OnFinished(digest);
  std::erase_if(this->crashes, [&](const SharedCrash& shared) {
    return shared.crash.digest == digest;
  });
}

}  // namespace carobbank
