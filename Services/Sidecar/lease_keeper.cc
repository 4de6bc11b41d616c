// Appends a record, reads the log back to it, and derives the authority;
// repeats for each renewal.

#include "Sidecar/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "LibLedger/ledger.h"

namespace carobbank {

namespace {

// Number of records before this sidecar's own that the first read-back covers.
// The number doubles until the read-back covers one lease duration.
constexpr std::uint64_t kInitialWindowRecords = 256;
constexpr std::size_t kPageRecords = 1'000;
constexpr Milliseconds kInitialBackoff{500};
constexpr Milliseconds kMaximumBackoff{20'000};

}  // namespace

LeaseKeeper::LeaseKeeper(
    ControlTimers& timers,
    const Clock& clock,
    LogClient& log,
    LeaseOptions options,
    std::function<void(const std::optional<OrderAuthority>&)> changed)
    : timers(timers),
      clock(clock),
      log(log),
      options(std::move(options)),
      changed(std::move(changed)) {}

void LeaseKeeper::Start() {
  this->Append();
}

void LeaseKeeper::OnFenced() {
  if (!this->busy) {
    this->AppendAfter(kInitialBackoff);
  }
}

void LeaseKeeper::Append() {
  this->timer.reset();
  this->busy = true;
  const MonotonicTime started = this->clock.Now();
  SidecarStartEntry entry;
  entry.instance = this->options.instance;
  entry.incarnation = this->options.incarnation;
  const std::string encoded = EncodeServerEntry(entry);
  this->log.Append(kServerStream, EncodeRecord({&encoded, 1}),
                   [this, started, token = std::weak_ptr<bool>(this->alive)](
                       const Outcome<std::uint64_t>& offset) {
                     if (!token.expired()) {
                       this->OnAppended(started, offset);
                     }
                   });
}

void LeaseKeeper::OnAppended(MonotonicTime started,
                             const Outcome<std::uint64_t>& offset) {
  if (!offset.Ok()) {
    // If the record was appended although the response failed, it only delays
    // other lease holders.
    this->OnFailure();
    return;
  }
  this->append_times = {started, this->clock.Now()};
  const std::uint64_t own = offset.Value();
  this->BeginReadBack(own - std::min(own, kInitialWindowRecords), own);
}

void LeaseKeeper::BeginReadBack(std::uint64_t from, std::uint64_t own_offset) {
  this->window_from = from;
  this->records.clear();
  this->oldest_seen_ms.reset();
  this->ReadPage(from, own_offset);
}

void LeaseKeeper::ReadPage(std::uint64_t from, std::uint64_t own_offset) {
  this->log.Read(kServerStream, from, kPageRecords, Milliseconds(0),
                 [this, own_offset, token = std::weak_ptr<bool>(this->alive)](
                     const Outcome<LogPage>& page) {
                   if (!token.expired()) {
                     this->OnPage(own_offset, page);
                   }
                 });
}

void LeaseKeeper::OnPage(std::uint64_t own_offset,
                         const Outcome<LogPage>& page) {
  const std::uint64_t span = own_offset - this->window_from;
  const bool expired =
      !page.Ok() && page.GetError().kind == ErrorKind::kExpired && span > 0;
  if (expired) {
    // Halves the window until a page can be read; that page states the first
    // retained offset.
    this->BeginReadBack(own_offset - span / 2, own_offset);
    return;
  }
  if (!page.Ok() || page.Value().records.empty()) {
    this->OnFailure();
    return;
  }
  const LogPage& read = page.Value();
  if (!this->oldest_seen_ms) {
    this->oldest_seen_ms = read.records.front().time_ms;
  }
  this->CollectRecords(read, own_offset);
  if (read.records.back().offset < own_offset) {
    this->ReadPage(read.records.back().offset + 1, own_offset);
    return;
  }
  if (this->records.empty() || this->records.back().offset != own_offset) {
    this->OnFailure();
    return;
  }
  const OrderHolderRecord own = this->records.back();
  if (this->CoversLeaseDuration(read, own)) {
    this->Derive(own);
    return;
  }
  const std::uint64_t wider = std::min(own_offset, 2 * (span + 1));
  this->BeginReadBack(std::max(own_offset - wider, read.first_retained),
                      own_offset);
}

bool LeaseKeeper::CoversLeaseDuration(const LogPage& page,
                                      const OrderHolderRecord& own) const {
  return this->window_from <= page.first_retained ||
         *this->oldest_seen_ms <=
             own.time_ms - this->options.terms.duration.count();
}

void LeaseKeeper::CollectRecords(const LogPage& page,
                                 std::uint64_t own_offset) {
  for (const LogRecord& record : page.records) {
    if (record.offset > own_offset) {
      return;
    }
    const auto decoded =
        DecodeServerRecord({record.offset, record.time_ms, record.payload});
    for (const auto& positioned : decoded.entries) {
      const auto* sidecar = std::get_if<SidecarStartEntry>(&positioned.entry);
      if (sidecar != nullptr && sidecar->instance == this->options.instance) {
        this->records.push_back(
            {record.offset, record.time_ms, sidecar->incarnation});
      }
    }
  }
}

void LeaseKeeper::Derive(const OrderHolderRecord& own) {
  this->busy = false;
  this->failures = 0;
  this->log_reachable = true;
  const auto authority =
      DeriveAuthority(this->records, own, this->append_times,
                      this->options.terms, this->options.engine_checks_fencing);
  if (!authority) {
    // Another sidecar of this instance has precedence, but it may have ended,
    // and its clock may have been ahead. Without a retry the server would
    // receive no further orders.
    this->AppendAfter(this->options.terms.duration);
  } else if (!this->options.engine_checks_fencing) {
    this->AppendAfter(this->options.renew_interval);
  }
  this->changed(authority);
}

void LeaseKeeper::AppendAfter(Milliseconds delay) {
  this->timer = this->timers.CallAfter(delay, [this] { this->Append(); });
}

void LeaseKeeper::OnFailure() {
  this->busy = false;
  this->log_reachable = false;
  const std::uint32_t doublings = std::min<std::uint32_t>(this->failures, 8);
  ++this->failures;
  this->AppendAfter(std::min<Milliseconds>(kInitialBackoff * (1 << doublings),
                                           kMaximumBackoff));
}

}  // namespace carobbank
