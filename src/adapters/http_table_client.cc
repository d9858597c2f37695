#include "sycamoreford/adapters/http_table_client.h"

#include <boost/json.hpp>

#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;

HttpRequest Post(std::string target, const json::object& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.fields.Add("content-type", "application/json");
  request.body = json::serialize(body);
  return request;
}

Failure Unavailable(const std::string& where) {
  return {.code = Errc::kTableUnavailable, .where = where};
}

}  // namespace

HttpTableClient::HttpTableClient(std::string address,
                                 std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

asio::awaitable<Result<std::vector<TableRow>>> HttpTableClient::Read(
    const TableRead& read) {
  json::object body{{"keys", json::value_from(read.keys)},
                    {"prefixes", json::value_from(read.prefixes)},
                    {"after", read.after},
                    {"limit", read.limit}};
  auto response = co_await FetchHttp(address_, Post("/v1/read", body), timeout_,
                                     kMaxResponseBytes);
  if (!response || response->status != 200) {
    co_return Unavailable(address_);
  }
  try {
    std::vector<TableRow> rows;
    const json::value parsed = json::parse(response->body);
    for (const json::value& row : parsed.at("rows").as_array()) {
      rows.push_back({json::value_to<std::string>(row.at("key")),
                      json::value_to<std::string>(row.at("value")),
                      row.at("version").to_number<std::uint64_t>()});
    }
    co_return rows;
  } catch (const std::exception&) {
    co_return Unavailable(address_);
  }
}

asio::awaitable<Result<bool>> HttpTableClient::Commit(
    const TableTransaction& transaction) {
  json::array conditions;
  for (const TableCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  json::array writes;
  for (const TableWrite& write : transaction.writes) {
    json::object item{{"key", write.key}, {"value", nullptr}};
    if (write.value) {
      item["value"] = *write.value;
    }
    writes.push_back(item);
  }
  json::object body{{"conditions", conditions}, {"writes", writes}};
  auto response = co_await FetchHttp(address_, Post("/v1/commit", body),
                                     timeout_, kMaxResponseBytes);
  if (!response && response.error().outcome == Outcome::kNotRun) {
    co_return Unavailable(address_);
  }
  if (response && response->status == 503) {
    // The service returns 503 only if it has not started the transaction.
    co_return Unavailable(address_);
  }
  const Failure lost{.code = Errc::kTableAnswerLost,
                     .outcome = Outcome::kUnknown,
                     .where = address_};
  if (!response || response->status != 200) {
    co_return lost;
  }
  try {
    co_return json::parse(response->body).at("committed").as_bool();
  } catch (const std::exception&) {
    co_return lost;
  }
}

}  // namespace sycamoreford
