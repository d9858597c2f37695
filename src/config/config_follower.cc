#include "sycamoreford/config/config_follower.h"

#include <algorithm>
#include <charconv>

#include <google/protobuf/util/json_util.h>

#include "sycamoreford/config/config_keys.h"

namespace sycamoreford {
namespace {

constexpr std::size_t kMaxRecentChanges = 64;
constexpr std::uint32_t kMaxChangesPerRead = 256;

}  // namespace

std::string ConfigChangeKey(Revision revision) {
  constexpr std::size_t kDigits = 20;
  const std::string digits = std::to_string(revision.value());
  return kConfigChangePrefix + std::string(kDigits - digits.size(), '0') +
         digits;
}

std::string ToTableJson(const google::protobuf::Message& message) {
  std::string json;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  (void)google::protobuf::util::MessageToJsonString(message, &json, options);
  return json;
}

bool FromTableJson(const std::string& json,
                   google::protobuf::Message& message) {
  return google::protobuf::util::JsonStringToMessage(json, &message).ok();
}

ConfigFollower::ConfigFollower()
    : current_(std::make_shared<const Configuration>()) {}

void ConfigFollower::Install(Configuration next) {
  current_ = std::make_shared<const Configuration>(std::move(next));
}

OfferResult ConfigFollower::OfferChange(const v1::Change& change) {
  if (change.revision() <= current_->revision().value()) {
    return OfferResult::kUnchanged;
  }
  if (change.revision() > current_->revision().value() + 1) {
    return OfferResult::kGap;
  }
  Result<Configuration> next = current_->Apply(change);
  if (!next || next->digest() != change.digest()) {
    return OfferResult::kInvalid;
  }
  Install(std::move(*next));
  recent_changes_.push_back(change);
  if (recent_changes_.size() > kMaxRecentChanges) {
    recent_changes_.erase(recent_changes_.begin());
  }
  return OfferResult::kApplied;
}

OfferResult ConfigFollower::OfferSnapshot(const v1::Snapshot& snapshot) {
  if (snapshot.revision() <= current_->revision().value()) {
    return OfferResult::kUnchanged;
  }
  Result<Configuration> next = Configuration::FromSnapshot(snapshot);
  if (!next) {
    return OfferResult::kInvalid;
  }
  Install(std::move(*next));
  recent_changes_.clear();
  return OfferResult::kApplied;
}

void ConfigFollower::Confirm(TimePoint when) noexcept {
  confirmed_at_ = std::max(confirmed_at_.value_or(when), when);
}

TableRead ConfigFollower::NextRead() const {
  TableRead read;
  read.keys = {kConfigHeadKey};
  if (current_->revision() == Revision() || needs_snapshot_) {
    read.keys.emplace_back(kConfigSnapshotKey);
  }
  read.prefixes = {kConfigChangePrefix};
  read.after = ConfigChangeKey(current_->revision());
  read.limit = kMaxChangesPerRead;
  return read;
}

ConfigFollower::ParsedChanges ConfigFollower::ParseChanges(
    const std::vector<TableRow>& rows) {
  std::vector<TableRow> sorted;
  for (const TableRow& row : rows) {
    if (row.key.starts_with(kConfigChangePrefix)) {
      sorted.push_back(row);
    }
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const TableRow& a, const TableRow& b) { return a.key < b.key; });
  ParsedChanges parsed;
  for (const TableRow& row : sorted) {
    v1::Change change;
    if (!FromTableJson(row.value, change) ||
        ConfigChangeKey(Revision(change.revision())) != row.key) {
      parsed.is_complete = false;
      break;
    }
    parsed.changes.push_back(std::move(change));
  }
  return parsed;
}

Result<Revision> ConfigFollower::OfferRows(const std::vector<TableRow>& rows,
                                           TimePoint started) {
  std::uint64_t head = 0;
  for (const TableRow& row : rows) {
    if (row.key == kConfigHeadKey) {
      const char* end = row.value.data() + row.value.size();
      const auto [rest, status] = std::from_chars(row.value.data(), end, head);
      if (status != std::errc() || rest != end) {
        return Failure{.code = Errc::kMalformed, .where = kConfigHeadKey};
      }
    }
  }
  for (const TableRow& row : rows) {
    v1::Snapshot snapshot;
    if (row.key == kConfigSnapshotKey && FromTableJson(row.value, snapshot) &&
        snapshot.revision() <= head) {
      (void)OfferSnapshot(snapshot);
    }
  }
  return OfferParsed(ParseChanges(rows), Revision(head), started);
}

Result<Revision> ConfigFollower::OfferParsed(const ParsedChanges& parsed,
                                             Revision head,
                                             TimePoint started) {
  bool all_usable = true;
  for (const v1::Change& change : parsed.changes) {
    const OfferResult offered = OfferChange(change);
    if (offered == OfferResult::kInvalid || offered == OfferResult::kGap) {
      all_usable = false;
      break;
    }
  }
  const bool is_behind = current_->revision() < head;
  needs_snapshot_ = is_behind && !(parsed.is_complete && all_usable);
  if (needs_snapshot_) {
    return Failure{.code = Errc::kMalformed, .where = "config changes"};
  }
  if (head == current_->revision() && head >= observed_revision_) {
    Confirm(started);
  }
  return head;
}

}  // namespace sycamoreford
