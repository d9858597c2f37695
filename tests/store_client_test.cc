// What the client of the platform's store makes of its responses.
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "fakes/scripted_endpoint.h"
#include "store_client.h"
#include "support/relay_fleet.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

json::object Entry(const std::string& id, std::uint64_t version) {
  const std::string value =
      R"({"Service":"plain","State":"ready",)"
      R"("Zone":"north","Address":"10.0.0.1:80","born":)" +
      std::to_string(version) + "}";
  return {{"Key", id},
          {"Value", support::RelayFleet::EncodeBase64(value)},
          {"ObjectVersion", version}};
}

json::object Removal(const std::string& id, std::uint64_t version) {
  return {{"Key", id}, {"Deleted", true}, {"ObjectVersion", version}};
}

/// The changes that the client reads from a feed with these rows.
///
/// \param field further header field of the response, with its line end.
EndpointListing Read(json::array rows,
                     StorePosition position = {.version = 1},
                     const std::string& field = "") {
  asio::io_context context{1};
  fakes::ScriptedEndpoint store(context);
  const std::string body = json::serialize(
      json::object{{"ObjectVersion", 99}, {"Rows", std::move(rows)}});
  store.AddScript(
      {fakes::Send("HTTP/1.1 200 OK\r\n" + field + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body),
       fakes::Close()});
  platform::StoreClient client(store.address());
  EndpointListing listing;
  asio::co_spawn(context, client.AwaitEndpoints(position, milliseconds(100)),
                 [&](const std::exception_ptr&, auto result) {
                   REQUIRE(result.has_value());
                   listing = *result;
                   context.stop();
                 });
  context.run_for(milliseconds(2'000));
  REQUIRE(listing.position.version == 99);
  return listing;
}

// Guards against entries that are taken for removed because their removal is
// applied after them.
TEST_CASE("a feed with several changes of one endpoint") {
  SECTION("that lapsed and is back lists it") {
    const auto listing = Read({Removal("a", 10), Entry("b", 11), Entry("a", 12),
                               Removal("c", 13), Entry("c", 14)});
    CHECK(listing.removed.empty());
    REQUIRE(listing.endpoints.size() == 3);
    CHECK(listing.endpoints[1].id == "a");
    CHECK(listing.endpoints[1].started_at_ms == 12);
  }
  SECTION("that was back and is gone removes it") {
    const auto listing =
        Read({Removal("a", 10), Entry("a", 11), Removal("a", 12)});
    CHECK(listing.endpoints.empty());
    CHECK(listing.removed == std::vector<std::string>{"a"});
  }
  SECTION("that has changed twice has the last change") {
    const auto listing = Read({Entry("a", 10), Entry("a", 11)});
    CHECK(listing.removed.empty());
    REQUIRE(listing.endpoints.size() == 1);
    CHECK(listing.endpoints[0].started_at_ms == 11);
  }
}

TEST_CASE("a feed in another era than the position") {
  const auto read = [](const std::string& field) {
    return Read({Entry("a", 98)}, {.era = 3, .version = 90}, field);
  };
  SECTION("has a gap if it is later") {
    const auto listing = read("Store-Era: 4\r\n");
    CHECK(listing.has_gap);
    CHECK(listing.position == StorePosition{.era = 4, .version = 99});
  }
  SECTION("has none if it is the same") {
    const auto listing = read("Store-Era: 3\r\n");
    CHECK_FALSE(listing.has_gap);
    CHECK(listing.position == StorePosition{.era = 3, .version = 99});
  }
  SECTION("is older than what is known if it is earlier") {
    const auto listing = read("store-era: 2\r\n");
    CHECK_FALSE(listing.has_gap);
    CHECK(listing.position < StorePosition{.era = 3, .version = 0});
  }
}

}  // namespace
}  // namespace sycamoreford
