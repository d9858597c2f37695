// Tests the decoding of the platform's settings file, configuration, endpoint
// rows and HTTP headers.
#include <catch2/catch.hpp>

#include "endpoint_codec.h"
#include "http_relay_codec.h"
#include "manifest_codec.h"
#include "settings.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/peer_state.h"
#include "sycamoreford/lease/lease_machine.h"

namespace sycamoreford::platform {
namespace {

using std::chrono::milliseconds;

const std::string kSettings =
    "NodeName=front-1\nRole=relay\nZone=north\nIp=10.1.0.4\n"
    "Listen.Front=10.1.0.4:8227\nListen.Ready=10.1.0.4:8220\n"
    "Listen.Control=10.1.0.4:8229\n"
    "Seeds=10.1.0.4:8229,10.2.0.9:8229\n"
    "InternalPorts=7340,7355\nPlatform.Address=10.9.0.1:8223\n"
    "Bounds.GraceS=8\nBounds.RetryBudgetRatio=0.2\n"
    "Bounds.BudgetExtra=202\nBounds.BudgetWindowS=10\nSomething.New=1\n";

TEST_CASE("the pause that an endpoint asks for") {
  const auto decode = [](unsigned status, const auto&... texts) {
    HttpFields fields;
    (fields.Add("retry-after", texts), ...);
    return HttpRelayCodec::DecodeResponseHead("r1", status, fields).retry_after;
  };
  REQUIRE(decode(503, "3") == milliseconds(3'000));
  REQUIRE(decode(503, "0.25") == milliseconds(250));
  REQUIRE(decode(503, "1e3") == milliseconds(1'000'000));
  REQUIRE(decode(503, "1000000000000") == std::chrono::seconds(1'000'000'000));

  SECTION("the longest of several ones") {
    REQUIRE(decode(503, "1", "3", "soon") == milliseconds(3'000));
  }
  SECTION("nothing that is no time") {
    for (const char* text : {"", "0", "-1", "soon", "nan", "inf", "3 s",
                             "Fri, 04 Dec 2026 17:00:00 GMT"}) {
      CAPTURE(text);
      REQUIRE_FALSE(decode(503, text));
    }
  }
  SECTION("only with status 503") {
    for (const unsigned status : {200U, 421U, 429U, 500U, 502U}) {
      REQUIRE_FALSE(decode(status, "3"));
    }
  }
}

TEST_CASE("the request limit that an endpoint states") {
  const auto decode = [](const std::string& text) {
    HttpFields fields;
    fields.Add("server-limit", text);
    return HttpRelayCodec::DecodeResponseHead("r1", 200, fields).request_limit;
  };
  CHECK(decode("8.8") == 8.8);
  CHECK(decode("0") == 0.0);
  CHECK(decode("120") == 120.0);
  for (const std::string text :
       {"", "many", "-1", "3 a second", "inf", "nan", "1e999"}) {
    CAPTURE(text);
    CHECK_FALSE(decode(text).has_value());
  }
}

TEST_CASE("parsing the settings file") {
  std::vector<SettingsError> errors;

  SECTION("all known fields are read and unknown fields are ignored") {
    const auto settings = DaemonSettings::Parse(kSettings, errors);
    REQUIRE(errors.empty());
    REQUIRE(settings.vm == "front-1");
    REQUIRE(settings.data_centre == "north");
    REQUIRE(settings.first_internal_port == 7340);
    REQUIRE(settings.seeds.size() == 2);
    REQUIRE(settings.stop_grace == milliseconds(8'000));
    REQUIRE(settings.retries.window == milliseconds(10'000));
    REQUIRE(settings.retries.extra == 202);
  }

  SECTION("the error names the missing field") {
    std::istringstream lines(kSettings);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("Role") || line.starts_with("Seeds") ||
          line.starts_with("Something")) {
        continue;
      }
      std::string without = kSettings;
      without.erase(without.find(line + "\n"), line.size() + 1);
      errors.clear();
      (void)DaemonSettings::Parse(without, errors);
      REQUIRE(errors.size() == 1);
      REQUIRE(errors.front().field == line.substr(0, line.find('=')));
    }
  }

  SECTION("the error names the field with an invalid number") {
    const std::string wrong = GENERATE("x", "-1", "1.5.2", "3s", "");
    std::string text = kSettings;
    text.replace(text.find("GraceS=8"), 8, "GraceS=" + wrong);
    (void)DaemonSettings::Parse(text, errors);
    REQUIRE(errors.size() == 1);
    REQUIRE(errors.front().field == "Bounds.GraceS");
  }
}

TEST_CASE("decoding the configuration of the operators") {
  const std::string text = R"({"Version":7,"Routes":[
    {"Name":"r1","Host":"a.example","PathPrefix":"/x/","Kind":"stream",
     "TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,
     "TrafficSplit":[{"Service":"m","Weight":90},{"Service":"n","Weight":10}],
     "MaxAttempts":2,"AllowAnonymous":false,"StreamResume":true,
     "GapTargetMs":250},
    {"Name":"r2","Host":"a.example","PathPrefix":"/y/","Kind":"unsafe",
     "Service":"n"},
    {"Name":"r3","Host":"a.example","PathPrefix":"/z/","Kind":"stream",
     "Service":"m"},
    {"Name":"r4","Host":"a.example","PathPrefix":"/s/","Kind":"safe",
     "Service":"n","AllowAnonymous":true}],
   "Services":[{"Name":"m","MaxConnections":978,"Engine":{"Slots":192,
     "KvTokenBytes":918000,"Models":[{"Name":"d","LoadS":14.0}],"step_ms":1.02,
     "usual":{"prompt":774,"answer":203},"Layers":80,"LayerMb":1750.0,
     "Kinds":[{"Name":"a100","Mb":72000.0,"pace":2.4,"ReadFactor":3.2}]}},
     {"Name":"n","MaxConnections":110}],
   "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
     "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
   "Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":1}]})";

  SECTION("all parts are decoded") {
    const auto manifest = DecodeManifest(text);
    REQUIRE(manifest.has_value());
    REQUIRE((*manifest)->revision() == 7);
    REQUIRE((*manifest)->route_count() == 4);
    const auto route = [&](const std::string& path) {
      return (*manifest)->FindRoute("a.example", path);
    };
    REQUIRE(route("/x/1")->retry_policy == RetryPolicy::kResumable);
    REQUIRE(route("/x/1")->services.size() == 2);
    REQUIRE(route("/x/1")->time_limit == milliseconds(20'000));
    REQUIRE(route("/x/1")->target_pause == milliseconds(250));
    REQUIRE(route("/y/1")->retry_policy == RetryPolicy::kAtMostOnce);
    // The priority of the customer goes before that of the route.
    const RelayCustomer* customer = (*manifest)->FindCustomer("k");
    REQUIRE((*manifest)->RankOf(*route("/y/1"), nullptr) == 0);
    REQUIRE((*manifest)->RankOf(*route("/y/1"), customer) == 1);
    REQUIRE((*manifest)->RankOf(*route("/x/1"), nullptr) == 2);
    REQUIRE((*manifest)->RankOf(*route("/x/1"), customer) == 2);
    REQUIRE(route("/z/1")->retry_policy == RetryPolicy::kAtMostOnce);
    REQUIRE(route("/z/1")->streams);
    REQUIRE(route("/s/1")->retry_policy == RetryPolicy::kIdempotent);
    REQUIRE(route("/s/1")->allows_anonymous);
    REQUIRE((*manifest)->FindCustomer("k")->priority == 1U);
    const auto& engine = (*manifest)->FindService("m")->engine;
    REQUIRE(engine->layers == 80);
    REQUIRE(engine->kinds.at("a100").memory_mb == 72'000);
    REQUIRE_FALSE((*manifest)->FindService("n")->engine);
    REQUIRE((*manifest)->limits().idle_timeout == milliseconds(15'000));
  }

  SECTION("an invalid configuration is rejected with the invalid part") {
    REQUIRE(DecodeManifest("{").error().where.find("not a JSON object") !=
            std::string::npos);
    REQUIRE(DecodeManifest("{}").error().where.find("Version") !=
            std::string::npos);
    REQUIRE(DecodeManifest(R"({"Version":1,"Routes":[{"Host":1}]})")
                .error()
                .where.find("Routes") != std::string::npos);
  }
}

TEST_CASE("decoding endpoint rows and reports") {
  const std::string text =
      R"({"Service":"m","Address":"10.0.0.9:80","Zone":"north","Slots":192,)"
      R"("State":"ready","Sequence":4,"Kind":"a100","born":1700000000123,)"
      R"("Models":[],"Layers":{"From":20,"To":31,"Version":1}})";

  SECTION("a row is decoded") {
    const auto record = DecodeEndpoint("i-1", text);
    REQUIRE(record.has_value());
    REQUIRE(record->id == "i-1");
    REQUIRE(record->layers == LayerRange{20, 31});
    REQUIRE(record->started_at_ms == 1'700'000'000'123U);
    REQUIRE_FALSE(record->is_leaving);
  }
  SECTION("a row that does not describe an endpoint is rejected") {
    const std::string row = GENERATE(
        "", "\x01\xff", "[]", "{}", R"({"Service":"m","Address":"1:2"})",
        R"({"Service":1,"Address":"1:2","State":"ready"})",
        R"({"Service":"m","Address":"1:2","State":"weird"})",
        R"({"Service":"m","Address":null,"State":"ready"})");
    REQUIRE_FALSE(DecodeEndpoint("i-1", row).has_value());
  }
  SECTION("a row with a value out of range is rejected") {
    const std::string member = GENERATE(
        R"("Address":"1.2.3.4:70000")", R"("Address":"1.2.3.4:0")",
        R"("Address":"1.2.3.4:-1")", R"("Address":"1.2.3.4")",
        R"("Address":"1.2.3.400:80")", R"("Address":"a.example:80")",
        R"("Slots":1e300)", R"("Slots":4294967296)", R"("Slots":-1)",
        R"("born":1e300)", R"("born":18446744073709551616)", R"("born":-1)");
    CAPTURE(member);
    const std::string row =
        R"({"Service":"m","State":"ready",)" + member +
        (member.starts_with(R"("Address")") ? "}"
                                            : R"(,"Address":"1.2.3.4:80"})");
    REQUIRE_FALSE(DecodeEndpoint("i-1", row).has_value());
  }
  SECTION("a row whose key is no id is rejected") {
    const std::string id = GENERATE(as<std::string>{}, "", "?1", "i 1",
                                    "i-1\r\nA: b", "i-1,i-2", "\xc3\xa9");
    REQUIRE_FALSE(DecodeEndpoint(id, text).has_value());
  }
  SECTION("layers out of range are none") {
    const std::string layers =
        GENERATE(R"({"From":0,"To":1e300})", R"({"From":-1,"To":4})",
                 R"({"From":0,"To":4294967296})", R"({"From":1e300,"To":9})");
    const auto record = DecodeEndpoint(
        "i-1", R"({"Service":"m","State":"ready","Address":"1.2.3.4:80",)"
               R"("Layers":)" +
                   layers + "}");
    REQUIRE(record.has_value());
    REQUIRE(record->layers == LayerRange{});
  }
  SECTION("whatever is nested deeply is rejected") {
    constexpr std::size_t kDepth = 100'000;
    const std::string nested = GENERATE(as<std::string>{}, "[", R"({"a":)");
    std::string deep;
    for (std::size_t i = 0; i < kDepth; ++i) {
      deep += nested;
    }
    REQUIRE_FALSE(DecodeEndpoint("i-1", deep).has_value());
    REQUIRE_FALSE(DecodeReport(deep).has_value());
    REQUIRE_FALSE(DecodeManifest(deep).has_value());
    REQUIRE_FALSE(PeerMessage::Parse(deep).has_value());
    REQUIRE_FALSE(PeerState::Parse(deep).has_value());
    REQUIRE_FALSE(ParseLease(deep).has_value());
  }
  SECTION("numbers out of range in a report are none") {
    const auto report =
        DecodeReport(R"({"Busy":true,"Sequence":1e300,"born":-5,"Queued":1e20,)"
                     R"("InFlight":-1,"Layers":{"From":0,"To":1e18}})");
    REQUIRE(report.has_value());
    REQUIRE(report->order_sequence == 0);
    REQUIRE(report->started_at_ms == 0);
    REQUIRE(report->queued == 0);
    REQUIRE(report->in_flight == 0);
    REQUIRE(report->layers == LayerRange{});
  }
  SECTION("a report names the stages that stall requests") {
    const auto report = DecodeReport(
        R"({"Busy":true,"Sequence":3,"Layers":{"From":0,"To":25},"pace":2.5,)"
        R"("Stalled":[{"Id":"r","Address":"1.2.3.4:5"}]})");
    REQUIRE(report->is_busy);
    REQUIRE(report->order_sequence == 3);
    REQUIRE(report->slowness == 2.5);
    REQUIRE(report->stalled.front().address == "1.2.3.4:5");
  }
}

TEST_CASE("converting HTTP headers") {
  HttpRequest request;
  request.method = "POST";
  request.target = "/x/1?q=2";
  request.fields.Add("Host", "a.example");
  request.fields.Add("X-Attempt-Id", "r1");
  request.fields.Add("X-Deadline-Ms", "1500");
  request.fields.Add("X-Token-Counts", "1460,80");
  request.fields.Add("Connection", "X-Hop");
  request.fields.Add("X-Hop", "1");

  SECTION("headers of a request are decoded") {
    const auto decoded = HttpRelayCodec::Decode(request);
    REQUIRE(decoded->id == "r1");
    REQUIRE(decoded->path == "/x/1");
    REQUIRE(decoded->caller_timeout == milliseconds(1'500));
    REQUIRE(decoded->prompt_tokens == 1'460);

    SECTION("invalid token counts are treated as unknown") {
      HttpRequest other;
      other.fields.Add("X-Attempt-Id", "r1");
      other.fields.Add("X-Token-Counts", "many");
      REQUIRE(HttpRelayCodec::Decode(other)->prompt_tokens == 0);
    }
    SECTION("shared parts of the prompt are decoded without the last part") {
      const auto shared_parts = [](const std::string& header) {
        HttpRequest other;
        other.fields.Add("X-Attempt-Id", "r1");
        other.fields.Add("X-Prompt-Prefix", header);
        return ToString(HttpRelayCodec::Decode(other)->shared_parts);
      };
      REQUIRE(decoded->shared_parts.empty());
      REQUIRE(shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
              "5c1e07a2,91bd3f06");
      REQUIRE(shared_parts("5c1e07a2:800, 91bd3f06:410, e4402b7d:250") ==
              "5c1e07a2,91bd3f06");
      REQUIRE(shared_parts("e4402b7d:250").empty());
      REQUIRE(shared_parts("").empty());
      REQUIRE(shared_parts(",:7,e4402b7d:250").empty());
      REQUIRE(shared_parts("a,b,c") == "a,b");

      // Guards against a part that crashes endpoints behind the first ones.
      SECTION("all of them, however many") {
        HttpRequest other;
        std::string header;
        std::vector<PromptPartId> expected;
        for (std::uint64_t i = 1; i <= 1'000; ++i) {
          header += ToString(std::vector{PromptPartId(i)}) + ":1,";
          expected.emplace_back(i);
        }
        other.fields.Add("X-Attempt-Id", "r1");
        other.fields.Add("X-Prompt-Prefix", header + "b:1");
        REQUIRE(HttpRelayCodec::Decode(other)->shared_parts == expected);

        THEN("a line of the log holds the first ones and tells how many more") {
          REQUIRE(shared_parts(header) ==
                  "1,2,3,4,5,6,7,8,9,a,b,c,d,e,f,10,+984");
        }
      }
      SECTION("with ids that are not 64-bit hexadecimal numbers") {
        const std::string long_id(17, 'f');
        REQUIRE(shared_parts(long_id + ":1,b:2") ==
                shared_parts(long_id + ",b"));
        REQUIRE(shared_parts(long_id + ",b") != shared_parts(long_id + "f,b"));
        REQUIRE(shared_parts("manual,b") != shared_parts("other,b"));
      }
    }
    SECTION("a deadline that is not a number is rejected") {
      HttpRequest wrong;
      wrong.fields.Add("X-Attempt-Id", "r1");
      wrong.fields.Add("X-Deadline-Ms", "soon");
      REQUIRE(HttpRelayCodec::Decode(wrong).error().where == "X-Deadline-Ms");
    }
  }

  SECTION("hop-by-hop headers are not forwarded") {
    const HttpRequest encoded =
        HttpRelayCodec::Encode(request, ForwardOptions{});
    REQUIRE(encoded.fields.Get("Connection").empty());
    REQUIRE(encoded.fields.Get("X-Hop").empty());
    REQUIRE(encoded.fields.Get("Host") == "a.example");
  }

  SECTION("the chain header lists each stage and its layers in order") {
    ForwardOptions options;
    ChainStage first;
    first.address = "10.0.0.1:80";
    first.layers = {0, 20};
    ChainStage second;
    second.address = "10.0.0.2:80";
    second.layers = {20, 80};
    options.stages = {first, second};
    REQUIRE(
        HttpRelayCodec::Encode(request, options).fields.Get("X-Router-Hops") ==
        "10.0.0.1:80=0-20,10.0.0.2:80=20-80");
  }

  SECTION("headers of a response are decoded") {
    HttpFields fields;
    fields.Add("X-Attempt-Id", "r1");
    fields.Add("X-Response-Seal", "s");
    fields.Add("X-Replica-Load", "3,1,8");
    REQUIRE(HttpRelayCodec::DecodeResponseHead("r1", 200, fields).IsTrusted());
    REQUIRE(
        HttpRelayCodec::DecodeResponseHead("r1", 200, fields).load->waiting ==
        1);
    REQUIRE_FALSE(
        HttpRelayCodec::DecodeResponseHead("r2", 200, fields).IsTrusted());
    REQUIRE_FALSE(
        HttpRelayCodec::DecodeResponseHead("r1", 200, fields).is_not_run);
    REQUIRE(HttpRelayCodec::DecodeResponseHead("r1", 421, fields).is_not_run);
  }

  SECTION("Retry-After is sent only for requests that have not run") {
    const auto refuse = [](Refusal refusal) {
      return HttpRelayCodec::EncodeRefusal(refusal, milliseconds(1'250));
    };
    REQUIRE(refuse(Refusal::kNoEndpoint).status == 503);
    REQUIRE(refuse(Refusal::kNoEndpoint).fields.Get("Retry-After") == "1.250");
    REQUIRE(refuse(Refusal::kPromptQuarantined).status == 503);
    REQUIRE_FALSE(
        refuse(Refusal::kPromptQuarantined).fields.Get("Retry-After").empty());
    REQUIRE(refuse(Refusal::kAnswerLost).status == 502);
    REQUIRE(refuse(Refusal::kAnswerLost).fields.Get("Retry-After").empty());
    REQUIRE(refuse(Refusal::kTimedOut).status == 504);
  }
}

}  // namespace
}  // namespace sycamoreford::platform
