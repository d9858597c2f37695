#include "sycamoreford/claim/claim_machine.h"

#include <algorithm>
#include <utility>

namespace sycamoreford {

namespace {

Failure UnexpectedEvent() {
  return {.code = Errc::kUnexpectedEvent,
          .outcome = Outcome::kUnknown,
          .where = "claim"};
}

}  // namespace

ClaimMachine::ClaimMachine(std::string row_key,
                           Claim claim,
                           std::chrono::milliseconds settle_for)
    : row_key_(std::move(row_key)),
      claim_(std::move(claim)),
      settle_for_(settle_for) {
  claim_.state = ClaimState::kTaken;
}

ClaimStep ClaimMachine::step() const noexcept {
  switch (state_) {
    case State::kTaking:
    case State::kFencing:
    case State::kKeeping:
      return ClaimStep::kWrite;
    case State::kReading:
    case State::kSettling:
      return ClaimStep::kRead;
    case State::kRunning:
      return ClaimStep::kDispatch;
    case State::kWaiting:
      return ClaimStep::kWait;
    case State::kEnded:
      return ClaimStep::kEnd;
  }
  return ClaimStep::kEnd;
}

TableTransaction ClaimMachine::transaction() const {
  Claim written = claim_;
  if (state_ == State::kFencing) {
    written.state = ClaimState::kReleased;
  }
  TableTransaction transaction;
  transaction.conditions.push_back({row_key_, expected_});
  transaction.writes.push_back({row_key_, SerializeClaim(written)});
  return transaction;
}

std::chrono::milliseconds ClaimMachine::backoff() const noexcept {
  constexpr int kMostDoublings = 6;
  const int doublings = std::min(waits_, kMostDoublings);
  return std::min(kMostBackoff, kFirstBackoff * (1 << doublings));
}

Result<void> ClaimMachine::OnWritten(ClaimWriteResult result, TimePoint at) {
  const bool is_committed = result == ClaimWriteResult::kCommitted;
  switch (state_) {
    case State::kTaking:
      if (is_committed) {
        state_ = State::kRunning;
      } else if (result == ClaimWriteResult::kUnavailable) {
        RefuseUnavailable(at);
      } else {
        is_take_open_ = result == ClaimWriteResult::kAnswerLost;
        ReadAgain(at);
      }
      return {};
    case State::kFencing:
      if (is_committed) {
        is_take_open_ = false;
        RefuseUnavailable(at);
      } else {
        ReadAgain(at);
      }
      return {};
    case State::kKeeping:
      if (is_committed) {
        End(true);
      } else {
        TryLater(at);
      }
      return {};
    case State::kReading:
    case State::kRunning:
    case State::kSettling:
    case State::kWaiting:
    case State::kEnded:
      return UnexpectedEvent();
  }
  return UnexpectedEvent();
}

Result<void> ClaimMachine::OnRow(const std::optional<TableRow>& row,
                                 TimePoint at,
                                 std::chrono::system_clock::time_point now) {
  switch (state_) {
    case State::kReading:
      KeepFrom(now);
      JudgeTaking(row, at, now);
      return {};
    case State::kSettling:
      KeepFrom(now);
      JudgeSettling(row);
      return {};
    case State::kTaking:
    case State::kFencing:
    case State::kRunning:
    case State::kKeeping:
    case State::kWaiting:
    case State::kEnded:
      return UnexpectedEvent();
  }
  return UnexpectedEvent();
}

Result<void> ClaimMachine::OnReadFailed(TimePoint at) {
  switch (state_) {
    case State::kReading:
      ReadAgain(at);
      return {};
    case State::kSettling:
      TryLater(at);
      return {};
    case State::kTaking:
    case State::kFencing:
    case State::kRunning:
    case State::kKeeping:
    case State::kWaiting:
    case State::kEnded:
      return UnexpectedEvent();
  }
  return UnexpectedEvent();
}

Result<void> ClaimMachine::OnWaited(TimePoint at) {
  if (state_ != State::kWaiting) {
    return UnexpectedEvent();
  }
  if (give_up_at_ && at >= *give_up_at_) {
    End(false);
  } else {
    state_ = State::kSettling;
  }
  return {};
}

Result<void> ClaimMachine::OnAnswered(ClaimAnswer answer, TimePoint at) {
  auto settling = Settle(ClaimState::kAnswered, at);
  if (settling) {
    claim_.answer = std::move(answer);
  }
  return settling;
}

Result<void> ClaimMachine::OnNotRun(TimePoint at) {
  return Settle(ClaimState::kReleased, at);
}

Result<void> ClaimMachine::OnUnknown(TimePoint at) {
  return Settle(ClaimState::kUnknown, at);
}

Result<void> ClaimMachine::Settle(ClaimState end, TimePoint at) {
  if (state_ != State::kRunning) {
    return UnexpectedEvent();
  }
  claim_.state = end;
  give_up_at_ = at + settle_for_;
  state_ = State::kSettling;
  return {};
}

void ClaimMachine::KeepFrom(std::chrono::system_clock::time_point now) {
  claim_.deadline = std::max(claim_.deadline, now);
}

void ClaimMachine::Refuse(Failure failure) {
  reply_ = ClaimReply{.refusal = std::move(failure)};
  End(true);
}

void ClaimMachine::RefuseUnavailable(TimePoint at) {
  reply_ = ClaimReply{.refusal = Failure{.code = Errc::kTableUnavailable,
                                         .where = "claim",
                                         .retry_after = kRetryAfter}};
  if (!is_take_open_) {
    End(true);
    return;
  }
  // The caller is answered; what may still take effect is settled after it.
  claim_.state = ClaimState::kReleased;
  give_up_at_ = at + settle_for_;
  state_ = State::kWaiting;
}

void ClaimMachine::ReadAgain(TimePoint at) {
  if (++rounds_ > kTakeRounds) {
    RefuseUnavailable(at);
  } else {
    state_ = State::kReading;
  }
}

void ClaimMachine::JudgeTaking(const std::optional<TableRow>& row,
                               TimePoint at,
                               std::chrono::system_clock::time_point now) {
  const std::uint64_t version = row ? row->version : 0;
  if (is_take_open_ && version == expected_) {
    state_ = State::kFencing;
    return;
  }
  is_take_open_ = false;
  if (!row) {
    RefuseUnavailable(at);
    return;
  }
  auto found = ParseClaim(row->value);
  if (!found) {
    Failure failure = found.error();
    failure.outcome = Outcome::kUnknown;
    Refuse(std::move(failure));
  } else if (found->write_id == claim_.write_id &&
             found->state == ClaimState::kTaken) {
    state_ = State::kRunning;
  } else if (found->state == ClaimState::kReleased) {
    expected_ = version;
    if (++rounds_ > kTakeRounds) {
      RefuseUnavailable(at);
    } else {
      state_ = State::kTaking;
    }
  } else {
    JudgeOther(*found, now);
  }
}

void ClaimMachine::JudgeOther(const Claim& found,
                              std::chrono::system_clock::time_point now) {
  const std::string where = "idempotency-key";
  if (found.digest != claim_.digest) {
    Refuse({.code = Errc::kIdempotencyKeyReused, .where = where});
  } else if (found.state == ClaimState::kAnswered) {
    reply_ = ClaimReply{.replay = found.answer};
    End(true);
  } else if (found.state == ClaimState::kTaken &&
             now < found.deadline + kMaxClockSkew) {
    Refuse({.code = Errc::kInProgress,
            .outcome = Outcome::kUnknown,
            .where = where,
            .retry_after = kRetryAfter});
  } else {
    Refuse({.code = Errc::kOutcomeUnknown,
            .outcome = Outcome::kUnknown,
            .where = where});
  }
}

void ClaimMachine::JudgeSettling(const std::optional<TableRow>& row) {
  const std::uint64_t version = row ? row->version : 0;
  if (is_take_open_ && version == expected_) {
    state_ = State::kKeeping;
    return;
  }
  const auto found =
      row ? ParseClaim(row->value) : Result<Claim>(UnexpectedEvent());
  if (!found || found->write_id != claim_.write_id) {
    // Another call's, so that nothing of this one can take effect any more.
    End(is_take_open_);
  } else if (found->state == claim_.state) {
    End(true);
  } else if (found->state == ClaimState::kTaken) {
    is_take_open_ = false;
    expected_ = version;
    state_ = State::kKeeping;
  } else {
    End(false);
  }
}

void ClaimMachine::TryLater(TimePoint at) {
  if (give_up_at_ && at >= *give_up_at_) {
    End(false);
    return;
  }
  ++waits_;
  state_ = State::kWaiting;
}

void ClaimMachine::End(bool is_kept) {
  is_kept_ = is_kept;
  state_ = State::kEnded;
}

TableTransaction SweepClaims(const std::vector<TableRow>& rows,
                             std::chrono::system_clock::time_point now) {
  TableTransaction transaction;
  for (const TableRow& row : rows) {
    const auto claim = ParseClaim(row.value);
    if (!claim) {
      continue;
    }
    const bool has_end = claim->state == ClaimState::kAnswered ||
                         claim->state == ClaimState::kReleased;
    if (has_end && now > claim->deadline + kClaimRetention + kMaxClockSkew) {
      transaction.conditions.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  return transaction;
}

}  // namespace sycamoreford
