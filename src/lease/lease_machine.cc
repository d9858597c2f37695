#include "sycamoreford/lease/lease_machine.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace sycamoreford {

namespace json = boost::json;

std::string LeaseRowKey(const std::string& name) {
  return "lease/" + name;
}

std::string SerializeLease(const LeaseRow& lease) {
  return json::serialize(json::object{{"holder", lease.holder},
                                      {"fencing", lease.fencing.value()},
                                      {"write_id", lease.write_id}});
}

Result<LeaseRow> ParseLease(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    LeaseRow lease;
    lease.holder = json::value_to<std::string>(value.at("holder"));
    lease.fencing =
        FencingToken(value.at("fencing").to_number<std::uint64_t>());
    lease.write_id = json::value_to<std::string>(value.at("write_id"));
    return lease;
  } catch (const std::exception&) {
    return Failure{.code = Errc::kMalformed, .where = "lease"};
  }
}

LeaseMachine::LeaseMachine(std::string name,
                           std::string holder,
                           LeaseTimes times)
    : name_(std::move(name)), holder_(std::move(holder)), times_(times) {}

LeaseMachine::Step LeaseMachine::NextStep(TimePoint now) const noexcept {
  switch (state_) {
    case State::kWatching:
      if (is_fresh_ && MayAcquire()) {
        return Step::kWrite;
      }
      return now >= next_read_at_ ? Step::kRead : Step::kWait;
    case State::kHolding:
      if (now < next_read_at_) {
        return Step::kWait;
      }
      return is_fresh_ ? Step::kWrite : Step::kRead;
    case State::kWriting:
      return now >= next_read_at_ ? Step::kRead : Step::kWait;
    case State::kReleased:
      return Step::kWait;
  }
  return Step::kWait;
}

bool LeaseMachine::MayAcquire() const noexcept {
  return observed_.holder.empty() || last_read_at_ >= ExpiresAt();
}

TimePoint LeaseMachine::ExpiresAt() const noexcept {
  return unchanged_since_ + times_.ttl + times_.max_clock_drift;
}

TableTransaction LeaseMachine::BeginWrite(const std::string& write_id,
                                          TimePoint now) {
  pending_write_.holder = holder_;
  pending_write_.fencing = IsOwn() ? fencing_ : NextToken();
  pending_write_.write_id = write_id;
  write_started_at_ = now;
  is_fresh_ = false;
  next_read_at_ = now;
  state_ = State::kWriting;
  TableTransaction transaction;
  transaction.conditions.push_back({LeaseRowKey(name_), *observed_version_});
  transaction.writes.push_back(
      {LeaseRowKey(name_), SerializeLease(pending_write_)});
  return transaction;
}

bool LeaseMachine::IsOwn() const noexcept {
  return observed_.holder == holder_ && observed_.fencing == fencing_ &&
         fencing_.value() >= era_ * kTokensPerEra;
}

FencingToken LeaseMachine::NextToken() const noexcept {
  return FencingToken(
      std::max(observed_.fencing.value(), era_ * kTokensPerEra) + 1);
}

void LeaseMachine::OnEra(std::uint64_t era) {
  if (era <= era_) {
    return;
  }
  const bool is_first = era_ == 0;
  era_ = era;
  if (is_first || state_ == State::kReleased) {
    return;
  }
  observed_version_.reset();
  observed_ = {};
  is_fresh_ = false;
  held_until_ = {};
  next_read_at_ = {};
  state_ = State::kWatching;
}

void LeaseMachine::OnRow(const std::optional<TableRow>& row, TimePoint now) {
  if (state_ == State::kReleased) {
    return;
  }
  const std::uint64_t version = row ? row->version : 0;
  if (observed_version_ != version) {
    const auto found = row ? ParseLease(row->value) : Result<LeaseRow>();
    if (!found) {
      // The writer of a row that cannot be parsed may hold the lease, so this
      // daemon does not acquire it.
      OnReadFailed(now);
      return;
    }
    observed_version_ = version;
    observed_ = *found;
    unchanged_since_ = now;
  }
  is_fresh_ = true;
  last_read_at_ = now;
  const bool is_own = IsOwn();
  next_read_at_ =
      now + (is_own ? times_.renewal_interval : times_.poll_interval);
  const bool polls_often =
      times_.poll_interval < times_.ttl + times_.max_clock_drift;
  if (!is_own && polls_often && now < ExpiresAt()) {
    next_read_at_ = std::min(next_read_at_, ExpiresAt());
  }
  if (state_ == State::kWriting &&
      observed_.write_id == pending_write_.write_id) {
    MarkHeld();
  } else if (!is_own) {
    held_until_ = {};
    state_ = State::kWatching;
  } else if (state_ == State::kWriting) {
    // The renewal was not applied, or not yet. The row still has the fencing
    // token of this daemon.
    state_ = State::kHolding;
    next_read_at_ = now;
  }
}

void LeaseMachine::OnReadFailed(TimePoint now) {
  is_fresh_ = false;
  const bool is_watching = state_ == State::kWatching;
  next_read_at_ =
      now + (is_watching ? times_.poll_interval : times_.renewal_interval) / 4;
}

void LeaseMachine::OnWritten(std::optional<bool> committed, TimePoint now) {
  if (state_ != State::kWriting) {
    return;
  }
  next_read_at_ = now;
  if (committed == true) {
    MarkHeld();
  }
}

void LeaseMachine::MarkHeld() {
  fencing_ = pending_write_.fencing;
  held_until_ = write_started_at_ + times_.ttl;
  state_ = State::kHolding;
}

std::optional<FencingToken> LeaseMachine::TokenAt(TimePoint now) const {
  const bool is_held = state_ != State::kReleased && now < held_until_;
  return is_held ? std::optional(fencing_) : std::nullopt;
}

std::optional<TableTransaction> LeaseMachine::Release(TimePoint now) {
  const bool was_held =
      TokenAt(now).has_value() && observed_version_.has_value();
  held_until_ = {};
  state_ = State::kReleased;
  if (!was_held) {
    return std::nullopt;
  }
  LeaseRow released;
  released.fencing = fencing_;
  TableTransaction transaction;
  transaction.conditions.push_back({LeaseRowKey(name_), *observed_version_});
  transaction.writes.push_back({LeaseRowKey(name_), SerializeLease(released)});
  return transaction;
}

}  // namespace sycamoreford
