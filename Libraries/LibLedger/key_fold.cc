// The fold of `keys`: the first valid claim by log position holds the key.

#include "LibLedger/key_fold.h"

#include <algorithm>

namespace carobbank {

namespace {

// When a caller should retry while another attempt runs the request.
constexpr Milliseconds kInProgressRetryAfter{1000};

}  // namespace

bool KeyFold::Apply(const StreamRecord& record) {
  if (record.offset < this->next_offset) {
    return true;
  }
  if (record.offset > this->next_offset) {
    return false;
  }
  this->next_offset = record.offset + 1;
  this->log_time_ms = std::max(this->log_time_ms, record.time_ms);
  this->RemoveExpired();
  const DecodedRecord<KeyEntry> decoded = DecodeKeyRecord(record);
  this->counters.malformed += decoded.skipped;
  for (const PositionedEntry<KeyEntry>& positioned : decoded.entries) {
    if (const auto* claim = std::get_if<ClaimEntry>(&positioned.entry)) {
      this->OnClaim(*claim, record.time_ms);
    } else if (const auto* release =
                   std::get_if<ReleaseEntry>(&positioned.entry)) {
      this->OnRelease(*release, record.time_ms);
    } else if (const auto* done = std::get_if<DoneEntry>(&positioned.entry)) {
      this->OnDone(*done);
    }
  }
  return true;
}

bool KeyFold::InWindow(WallMilliseconds issued_ms,
                       WallMilliseconds time_ms) const {
  return time_ms <= issued_ms + this->options.window.count() &&
         time_ms >= issued_ms - this->options.skew.count();
}

void KeyFold::OnClaim(const ClaimEntry& entry, WallMilliseconds time_ms) {
  if (!this->InWindow(entry.issued_ms, time_ms)) {
    ++this->counters.claims_out_of_window;
    return;
  }
  KeyState& state = this->StateFor(
      entry.name, entry.issued_ms + this->options.key_retention.count());
  const bool repeat =
      state.attempt == entry.attempt &&
      (state.phase == KeyPhase::kClaimed || state.phase == KeyPhase::kDone);
  if (repeat) {
    return;
  }
  if (!this->CanClaim(state, entry)) {
    ++this->counters.claims_lost;
    this->AddSpent(state, entry.attempt);
    return;
  }
  ++this->counters.claims_won;
  state.phase = KeyPhase::kClaimed;
  state.attempt = entry.attempt;
  state.issued_ms = entry.issued_ms;
  state.deadline_ms = entry.deadline_ms;
  state.request_digest = entry.request_digest;
}

bool KeyFold::CanClaim(const KeyState& state, const ClaimEntry& entry) const {
  const bool held =
      state.phase == KeyPhase::kClaimed || state.phase == KeyPhase::kDone;
  if (held || state.spent.size() >= this->options.max_spent_attempts ||
      this->IsSpent(state, entry.attempt)) {
    return false;
  }
  const bool held_before = state.phase == KeyPhase::kReleased;
  return !held_before || (state.issued_ms == entry.issued_ms &&
                          state.request_digest == entry.request_digest);
}

void KeyFold::OnRelease(const ReleaseEntry& entry, WallMilliseconds time_ms) {
  KeyState& state =
      this->StateFor(entry.name, time_ms + this->options.key_retention.count());
  if (state.phase == KeyPhase::kDone && state.attempt == entry.attempt) {
    ++this->counters.ignored_entries;
    return;
  }
  if (state.phase == KeyPhase::kClaimed && state.attempt == entry.attempt) {
    state.phase = KeyPhase::kReleased;
  }
  // Recorded even without a claim, because a delayed copy of the claim may
  // still arrive.
  this->AddSpent(state, entry.attempt);
}

void KeyFold::OnDone(const DoneEntry& entry) {
  const auto found = this->keys.find(entry.name);
  if (found == this->keys.end() || found->second.phase != KeyPhase::kClaimed ||
      found->second.attempt != entry.attempt) {
    ++this->counters.ignored_entries;
    return;
  }
  found->second.phase = KeyPhase::kDone;
  found->second.outcome = entry.outcome;
}

KeyFold::KeyState& KeyFold::StateFor(const IdempotencyKey& name,
                                     WallMilliseconds expires_ms) {
  KeyState& state = this->keys[name];
  if (expires_ms > state.expires_ms) {
    this->expiries.erase({state.expires_ms, name});
    state.expires_ms = expires_ms;
    this->expiries.insert({expires_ms, name});
  }
  return state;
}

void KeyFold::AddSpent(KeyState& state, const std::string& attempt) {
  const bool full = state.spent.size() >= this->options.max_spent_attempts;
  if (!full && !this->IsSpent(state, attempt)) {
    state.spent.push_back(attempt);
  }
}

bool KeyFold::IsSpent(const KeyState& state, std::string_view attempt) const {
  return std::find(state.spent.begin(), state.spent.end(), attempt) !=
         state.spent.end();
}

void KeyFold::RemoveExpired() {
  while (!this->expiries.empty() &&
         this->expiries.begin()->expires_ms < this->log_time_ms) {
    this->keys.erase(this->expiries.begin()->name);
    this->expiries.erase(this->expiries.begin());
  }
}

KeyDecision KeyFold::Decide(const IdempotencyKey& name,
                            WallMilliseconds issued_ms,
                            std::string_view request_digest,
                            WallMilliseconds now_ms) const {
  const auto found = this->keys.find(name);
  const KeyState* state = found == this->keys.end() ? nullptr : &found->second;
  const bool claimed_before =
      state != nullptr && state->phase != KeyPhase::kNone;
  if (claimed_before && state->request_digest != request_digest) {
    return {.action = KeyAction::kMismatch};
  }
  const bool held = claimed_before && state->phase != KeyPhase::kReleased;
  if (held) {
    return this->DecideHeld(*state, now_ms);
  }
  const bool covered =
      issued_ms - this->options.skew.count() > this->options.covered_since_ms;
  if (!covered || !this->InWindow(issued_ms, now_ms)) {
    return {.action = this->ExpiredAction(issued_ms, now_ms)};
  }
  if (claimed_before && state->issued_ms != issued_ms) {
    return {.action = KeyAction::kMismatch};
  }
  if (state != nullptr &&
      state->spent.size() >= this->options.max_spent_attempts) {
    return {.action = KeyAction::kExhausted};
  }
  return {.action = KeyAction::kClaim};
}

KeyDecision KeyFold::DecideHeld(const KeyState& state,
                                WallMilliseconds now_ms) const {
  if (state.phase == KeyPhase::kDone) {
    return {.action = KeyAction::kDone, .outcome = state.outcome};
  }
  if (now_ms <= state.deadline_ms + this->options.skew.count()) {
    return {.action = KeyAction::kInProgress,
            .retry_after = kInProgressRetryAfter};
  }
  return {.action = KeyAction::kUnresolved};
}

KeyAction KeyFold::ExpiredAction(WallMilliseconds issued_ms,
                                 WallMilliseconds now_ms) const {
  // Every valid claim lies within the window. When the fold has read past the
  // window's end, covers its beginning and still retains keys of that age, no
  // attempt can hold the key any more.
  const WallMilliseconds opens = issued_ms - this->options.skew.count();
  const WallMilliseconds closes = issued_ms + this->options.window.count();
  // Before the window opens, allowing for clock skew, no valid claim exists.
  const bool before_window = now_ms < opens - this->options.skew.count();
  const bool window_covered =
      opens > this->options.covered_since_ms && this->log_time_ms > closes &&
      this->log_time_ms <= issued_ms + this->options.key_retention.count();
  return before_window || window_covered ? KeyAction::kExpiredNotRun
                                         : KeyAction::kExpiredUnknown;
}

ClaimStatus KeyFold::StatusOf(const IdempotencyKey& name,
                              std::string_view attempt,
                              const LogPosition& claimed_at) const {
  if (claimed_at.offset >= this->next_offset) {
    return ClaimStatus::kPending;
  }
  const auto found = this->keys.find(name);
  const bool holds = found != this->keys.end() &&
                     found->second.phase == KeyPhase::kClaimed &&
                     found->second.attempt == attempt;
  return holds ? ClaimStatus::kWon : ClaimStatus::kLost;
}

KeyPhase KeyFold::PhaseOf(const IdempotencyKey& name) const {
  const auto found = this->keys.find(name);
  return found == this->keys.end() ? KeyPhase::kNone : found->second.phase;
}

std::vector<OpenClaim> KeyFold::OpenClaims() const {
  std::vector<OpenClaim> open;
  for (const auto& [name, state] : this->keys) {
    if (state.phase == KeyPhase::kClaimed) {
      open.push_back({name, state.attempt, state.deadline_ms});
    }
  }
  return open;
}

}  // namespace carobbank
