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
                           std::chrono::milliseconds max_store_time)
    : row_key_(std::move(row_key)),
      claim_(std::move(claim)),
      max_store_time_(max_store_time) {
  claim_.state = ClaimState::kTaken;
}

ClaimStep ClaimMachine::step() const noexcept {
  switch (state_) {
    case State::kTaking:
    case State::kFencing:
    case State::kStoringFinalState:
      return ClaimStep::kWrite;
    case State::kCheckingTake:
    case State::kCheckingFinalState:
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
  transaction.conditions.push_back({row_key_, expected_version_});
  transaction.writes.push_back({row_key_, SerializeClaim(written)});
  return transaction;
}

std::chrono::milliseconds ClaimMachine::backoff() const noexcept {
  constexpr int kMaxDoublings = 6;
  const int doublings = std::min(store_failures_, kMaxDoublings);
  return std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
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
        is_take_pending_ = result == ClaimWriteResult::kAnswerLost;
        RereadOrRefuse(at);
      }
      return {};
    case State::kFencing:
      if (is_committed) {
        is_take_pending_ = false;
        RefuseUnavailable(at);
      } else {
        RereadOrRefuse(at);
      }
      return {};
    case State::kStoringFinalState:
      if (is_committed) {
        End(true);
      } else {
        RetryStoreLater(at);
      }
      return {};
    case State::kCheckingTake:
    case State::kRunning:
    case State::kCheckingFinalState:
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
    case State::kCheckingTake:
      ExtendDeadline(now);
      HandleTakeRow(row, at, now);
      return {};
    case State::kCheckingFinalState:
      ExtendDeadline(now);
      HandleFinalStateRow(row);
      return {};
    case State::kTaking:
    case State::kFencing:
    case State::kRunning:
    case State::kStoringFinalState:
    case State::kWaiting:
    case State::kEnded:
      return UnexpectedEvent();
  }
  return UnexpectedEvent();
}

Result<void> ClaimMachine::OnReadFailed(TimePoint at) {
  switch (state_) {
    case State::kCheckingTake:
      RereadOrRefuse(at);
      return {};
    case State::kCheckingFinalState:
      RetryStoreLater(at);
      return {};
    case State::kTaking:
    case State::kFencing:
    case State::kRunning:
    case State::kStoringFinalState:
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
    state_ = State::kCheckingFinalState;
  }
  return {};
}

Result<void> ClaimMachine::OnResponse(StoredResponse response, TimePoint at) {
  auto started = StartStoring(ClaimState::kAnswered, at);
  if (started) {
    claim_.response = std::move(response);
  }
  return started;
}

Result<void> ClaimMachine::OnNotRun(TimePoint at) {
  return StartStoring(ClaimState::kReleased, at);
}

Result<void> ClaimMachine::OnUnknown(TimePoint at) {
  return StartStoring(ClaimState::kUnknown, at);
}

Result<void> ClaimMachine::StartStoring(ClaimState final_state, TimePoint at) {
  if (state_ != State::kRunning) {
    return UnexpectedEvent();
  }
  claim_.state = final_state;
  give_up_at_ = at + max_store_time_;
  state_ = State::kCheckingFinalState;
  return {};
}

void ClaimMachine::ExtendDeadline(std::chrono::system_clock::time_point now) {
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
  if (!is_take_pending_) {
    End(true);
    return;
  }
  // The caller has its reply. The write that may still be applied is resolved
  // afterwards by storing the claim as released.
  claim_.state = ClaimState::kReleased;
  give_up_at_ = at + max_store_time_;
  state_ = State::kWaiting;
}

void ClaimMachine::RereadOrRefuse(TimePoint at) {
  if (++take_retries_ > kMaxTakeRetries) {
    RefuseUnavailable(at);
  } else {
    state_ = State::kCheckingTake;
  }
}

void ClaimMachine::HandleTakeRow(const std::optional<TableRow>& row,
                                 TimePoint at,
                                 std::chrono::system_clock::time_point now) {
  const std::uint64_t version = row ? row->version : 0;
  if (is_take_pending_ && version == expected_version_) {
    state_ = State::kFencing;
    return;
  }
  is_take_pending_ = false;
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
    expected_version_ = version;
    if (++take_retries_ > kMaxTakeRetries) {
      RefuseUnavailable(at);
    } else {
      state_ = State::kTaking;
    }
  } else {
    ReplyToRepeat(*found, now);
  }
}

void ClaimMachine::ReplyToRepeat(const Claim& found,
                                 std::chrono::system_clock::time_point now) {
  const std::string where = "idempotency-key";
  if (found.digest != claim_.digest) {
    Refuse({.code = Errc::kIdempotencyKeyReused, .where = where});
  } else if (found.state == ClaimState::kAnswered) {
    reply_ = ClaimReply{.replay = found.response};
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

void ClaimMachine::HandleFinalStateRow(const std::optional<TableRow>& row) {
  const std::uint64_t version = row ? row->version : 0;
  if (is_take_pending_ && version == expected_version_) {
    state_ = State::kStoringFinalState;
    return;
  }
  const auto found =
      row ? ParseClaim(row->value) : Result<Claim>(UnexpectedEvent());
  if (!found || found->write_id != claim_.write_id) {
    // The row was deleted, is malformed or belongs to another request, so no
    // write of this one can be applied any more. A pending take thus needs no
    // release; the final state of a request that had the claim cannot be
    // stored.
    End(is_take_pending_);
  } else if (found->state == claim_.state) {
    End(true);
  } else if (found->state == ClaimState::kTaken) {
    is_take_pending_ = false;
    expected_version_ = version;
    state_ = State::kStoringFinalState;
  } else {
    End(false);
  }
}

void ClaimMachine::RetryStoreLater(TimePoint at) {
  if (give_up_at_ && at >= *give_up_at_) {
    End(false);
    return;
  }
  ++store_failures_;
  state_ = State::kWaiting;
}

void ClaimMachine::End(bool is_stored) {
  is_stored_ = is_stored;
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
    const bool has_known_outcome = claim->state == ClaimState::kAnswered ||
                                   claim->state == ClaimState::kReleased;
    if (has_known_outcome &&
        now > claim->deadline + kClaimRetention + kMaxClockSkew) {
      transaction.conditions.push_back({row.key, row.version});
      transaction.writes.push_back({row.key, std::nullopt});
    }
  }
  return transaction;
}

}  // namespace sycamoreford
