#include "sycamoreford/config/config_follower.h"

#include <algorithm>
#include <charconv>

#include <google/protobuf/util/json_util.h>

#include "sycamoreford/config/config_keys.h"

namespace sycamoreford {
namespace {

constexpr std::size_t kRecentChanges = 64;
constexpr std::uint32_t kChangesPerRead = 256;

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
  recent_.push_back(change);
  if (recent_.size() > kRecentChanges) {
    recent_.erase(recent_.begin());
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
  recent_.clear();
  return OfferResult::kApplied;
}

TableRead ConfigFollower::NextRead() const {
  TableRead read;
  read.keys = {kConfigHeadKey};
  if (current_->revision() == Revision()) {
    read.keys.emplace_back(kConfigSnapshotKey);
  }
  read.prefixes = {kConfigChangePrefix};
  read.after = ConfigChangeKey(current_->revision());
  read.limit = kChangesPerRead;
  return read;
}

Result<Revision> ConfigFollower::OfferRows(const std::vector<TableRow>& rows,
                                           TimePoint started) {
  const Failure malformed{.code = Errc::kMalformed, .where = "config rows"};
  std::uint64_t head = 0;
  std::vector<v1::Change> changes;
  for (const TableRow& row : rows) {
    if (row.key == kConfigHeadKey) {
      const char* end = row.value.data() + row.value.size();
      const auto [rest, status] = std::from_chars(row.value.data(), end, head);
      if (status != std::errc() || rest != end) {
        return malformed;
      }
    } else if (row.key == kConfigSnapshotKey) {
      v1::Snapshot snapshot;
      if (!FromTableJson(row.value, snapshot) ||
          OfferSnapshot(snapshot) == OfferResult::kInvalid) {
        return malformed;
      }
    } else {
      v1::Change change;
      if (!FromTableJson(row.value, change)) {
        return malformed;
      }
      changes.push_back(std::move(change));
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const v1::Change& a, const v1::Change& b) {
              return a.revision() < b.revision();
            });
  for (const v1::Change& change : changes) {
    if (OfferChange(change) == OfferResult::kInvalid) {
      return malformed;
    }
  }
  if (head <= current_->revision().value()) {
    confirmed_at_ = std::max(confirmed_at_.value_or(started), started);
  }
  return Revision(head);
}

}  // namespace sycamoreford
