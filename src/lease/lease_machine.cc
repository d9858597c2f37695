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
      if (is_fresh_ && MayTake()) {
        return Step::kWrite;
      }
      return now >= next_read_ ? Step::kRead : Step::kWait;
    case State::kHolding:
      if (now < next_read_) {
        return Step::kWait;
      }
      return is_fresh_ ? Step::kWrite : Step::kRead;
    case State::kWriting:
      return now >= next_read_ ? Step::kRead : Step::kWait;
    case State::kReleased:
      return Step::kWait;
  }
  return Step::kWait;
}

bool LeaseMachine::MayTake() const noexcept {
  return seen_.holder.empty() || read_at_ >= LapsesAt();
}

TimePoint LeaseMachine::LapsesAt() const noexcept {
  return seen_since_ + times_.ttl + times_.drift;
}

TableTransaction LeaseMachine::BeginWrite(const std::string& write_id,
                                          TimePoint now) {
  const bool renews = seen_.holder == holder_ && seen_.fencing == fencing_;
  writing_.holder = holder_;
  writing_.fencing =
      renews ? fencing_ : FencingToken(seen_.fencing.value() + 1);
  writing_.write_id = write_id;
  write_began_ = now;
  is_fresh_ = false;
  next_read_ = now;
  state_ = State::kWriting;
  TableTransaction transaction;
  transaction.conditions.push_back({LeaseRowKey(name_), *seen_version_});
  transaction.writes.push_back({LeaseRowKey(name_), SerializeLease(writing_)});
  return transaction;
}

void LeaseMachine::OnRow(const std::optional<TableRow>& row, TimePoint now) {
  if (state_ == State::kReleased) {
    return;
  }
  const std::uint64_t version = row ? row->version : 0;
  if (seen_version_ != version) {
    const auto found = row ? ParseLease(row->value) : Result<LeaseRow>();
    if (!found) {
      // Whoever wrote it may hold the lease; it is never taken from them.
      OnReadFailed(now);
      return;
    }
    seen_version_ = version;
    seen_ = *found;
    seen_since_ = now;
  }
  is_fresh_ = true;
  read_at_ = now;
  const bool is_mine = seen_.holder == holder_ && seen_.fencing == fencing_;
  next_read_ = now + (is_mine ? times_.renewal : times_.look);
  const bool looks_often = times_.look < times_.ttl + times_.drift;
  if (!is_mine && looks_often && now < LapsesAt()) {
    next_read_ = std::min(next_read_, LapsesAt());
  }
  if (state_ == State::kWriting && seen_.write_id == writing_.write_id) {
    Believe();
  } else if (!is_mine) {
    held_until_ = {};
    state_ = State::kWatching;
  } else if (state_ == State::kWriting) {
    // The renewal is not there, or not yet; the number is still the newest.
    state_ = State::kHolding;
    next_read_ = now;
  }
}

void LeaseMachine::OnReadFailed(TimePoint now) {
  is_fresh_ = false;
  const bool only_watches = state_ == State::kWatching;
  next_read_ = now + (only_watches ? times_.look : times_.renewal) / 4;
}

void LeaseMachine::OnWritten(std::optional<bool> committed, TimePoint now) {
  if (state_ != State::kWriting) {
    return;
  }
  next_read_ = now;
  if (committed == true) {
    Believe();
  }
}

void LeaseMachine::Believe() {
  fencing_ = writing_.fencing;
  held_until_ = write_began_ + times_.ttl;
  state_ = State::kHolding;
}

std::optional<FencingToken> LeaseMachine::TokenAt(TimePoint now) const {
  const bool believes = state_ != State::kReleased && now < held_until_;
  return believes ? std::optional(fencing_) : std::nullopt;
}

std::optional<TableTransaction> LeaseMachine::Release(TimePoint now) {
  const bool held = TokenAt(now).has_value() && seen_version_.has_value();
  held_until_ = {};
  state_ = State::kReleased;
  if (!held) {
    return std::nullopt;
  }
  LeaseRow released;
  released.fencing = fencing_;
  TableTransaction transaction;
  transaction.conditions.push_back({LeaseRowKey(name_), *seen_version_});
  transaction.writes.push_back({LeaseRowKey(name_), SerializeLease(released)});
  return transaction;
}

}  // namespace sycamoreford
