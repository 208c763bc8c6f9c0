/// @file
/// Tests of the platform adapter: settings, items of the store, and the headers
/// of callers and endpoints.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "limpethaven/crypto.h"
#include "platform/dialect.h"
#include "platform/settings.h"
#include "platform/store_items.h"
#include "platform/store_source.h"

namespace limpethaven::platform {
namespace {

using nlohmann::json;

constexpr const char* kKey = "key-north-0001";

json GoodSettings() {
  return json::parse(R"({
    "node": "vm-1", "ip": "127.0.0.9", "zone": "east-a",
    "listen": {"front": "127.0.0.9:8080", "ready": "127.0.0.9:8081",
               "directory": "127.0.0.9:8082"},
    "platform": {"addr": "127.0.0.1:9000"},
    "port_range": [7000, 7099], "seeds": ["127.0.0.1:7000", 5],
    "bounds": {"grace_s": 8, "contact_ms": 4000, "ttl_max_s": 0.5, "quota_window_s": 2,
               "budget_ratio": 0.2, "extra_retries": 7, "budget_window_s": 9},
    "limits": {"cores": 2, "cpu_share": 0.25}, "unknown": {"a": [1]}})");
}

TEST_CASE("platform settings are read and unknown fields ignored") {
  const Result<PlatformSettings> read = ParseSettings(GoodSettings().dump());
  REQUIRE(read);
  const NodeSettings& node = read.value().node;
  REQUIRE(node.vm == "vm-1");
  REQUIRE(node.data_centre == "east-a");
  REQUIRE(node.seeds == std::vector<std::string>{"127.0.0.1"});
  REQUIRE(node.address_ttl_ms == 500);
  REQUIRE(node.cpu_millicores == 500);
  REQUIRE(node.shutdown_timeout_ms == 7600);
  REQUIRE(node.router.retries == RetrySettings{0.2, 7, 9000, 9000});
  REQUIRE(read.value().store.address == "127.0.0.1:9000");
  REQUIRE(read.value().store.max_silence_ms == 3500);
}

TEST_CASE("platform settings: one error names every invalid field") {
  json settings = GoodSettings();
  settings["ip"] = "nowhere";
  settings["listen"]["front"] = 8080;
  settings["listen"]["ready"] = "127.0.0.9";
  settings["port_range"] = {70'000, 70'001};
  settings["platform"].erase("addr");
  settings["bounds"]["grace_s"] = 0;
  const Result<PlatformSettings> read = ParseSettings(settings.dump());
  REQUIRE_FALSE(read);
  const std::string& text = read.error().message;
  INFO(text);
  for (const char* field : {"ip:", "listen.front:", "listen.ready:",
                            "port_range:", "platform.addr:", "grace_s:"}) {
    REQUIRE(text.find(field) != std::string::npos);
  }
  REQUIRE_FALSE(ParseSettings("{"));
  REQUIRE_FALSE(ParseSettings("[]"));
}

TEST_CASE("platform settings: readers of the store fit the bounds") {
  json settings = GoodSettings();
  // Guards against readers where a change must be in force sooner than a
  // process can find out that it has lost them.
  REQUIRE(ParseSettings(settings.dump()).value().node.source_readers == 0);
  settings["limpethaven"]["source_readers"] = 2;
  REQUIRE_FALSE(ParseSettings(settings.dump()));
  settings.erase("limpethaven");
  settings["bounds"]["drain_ms"] = 3000;
  const NodeSettings node = ParseSettings(settings.dump()).value().node;
  REQUIRE(node.source_readers == 2);
  REQUIRE(node.min_members_for_readers == 100);
  for (const char* name : {"source_readers", "min_members_for_readers"}) {
    for (const json& value : {json(-1), json(1.5), json(1e12)}) {
      json invalid = settings;
      invalid["limpethaven"][name] = value;
      const Result<PlatformSettings> read = ParseSettings(invalid.dump());
      REQUIRE_FALSE(read);
      REQUIRE(read.error().message.find(name) != std::string::npos);
    }
  }
  settings["limpethaven"] = {{"source_readers", 0}};
  REQUIRE(ParseSettings(settings.dump()).value().node.source_readers == 0);
}

json GoodEndpoint() {
  return json::parse(R"({"service": "scribe", "addr": "127.0.0.5:9000",
    "zone": "east-a", "version": "1", "slots": 8, "state": "ready",
    "cold_left_ms": 0, "seq": 4, "stage": "decode", "born": 1700000000123})");
}

TEST_CASE("platform: an endpoint's store item is read into a record") {
  const auto record = ReadEndpoint("i-1", GoodEndpoint().dump());
  REQUIRE(record);
  REQUIRE(record->id == "i-1");
  REQUIRE(record->born == 1'700'000'000'123);
  REQUIRE(record->pool == "scribe");
  REQUIRE(record->role == PoolRole::kDecode);
  REQUIRE_FALSE(record->leaving);
  json leaving = GoodEndpoint();
  leaving["state"] = "draining";
  REQUIRE(ReadEndpoint("i-1", leaving.dump())->leaving);
}

TEST_CASE("platform: an invalid endpoint item is rejected") {
  const auto accepts = [](const std::string& text) {
    return ReadEndpoint("i-1", text).has_value();
  };
  REQUIRE_FALSE(accepts(""));
  REQUIRE_FALSE(accepts("\xff\xfe"));
  REQUIRE_FALSE(accepts("[]"));
  for (const char* field : {"service", "addr", "zone", "version", "slots",
                            "state", "cold_left_ms", "seq", "born"}) {
    json missing = GoodEndpoint();
    missing.erase(field);
    INFO(field);
    REQUIRE_FALSE(accepts(missing.dump()));
    json wrong_type = GoodEndpoint();
    wrong_type[field] = json::array({1});
    REQUIRE_FALSE(accepts(wrong_type.dump()));
  }
  json invalid = GoodEndpoint();
  invalid["state"] = "resting";
  REQUIRE_FALSE(accepts(invalid.dump()));
  invalid = GoodEndpoint();
  invalid["addr"] = "somewhere";
  REQUIRE_FALSE(accepts(invalid.dump()));
  invalid = GoodEndpoint();
  invalid["slots"] = 0;
  REQUIRE_FALSE(accepts(invalid.dump()));
}

TEST_CASE("platform: the configuration is read into routes, pools and teams") {
  const auto config = ReadConfiguration(R"({"version": 7,
    "routes": [
      {"name": "ask", "host": "a.example", "prefix": "/x/", "service": "scribe",
       "kind": "stream", "can_resume": true, "attempts": 3, "timeout_ms": 9000,
       "slo_ms": 800, "gap_aim_ms": 60, "sticky": true, "priority": 2},
      {"name": "pay", "host": "a.example", "prefix": "/x/y/", "service": "shop",
       "kind": "non_idempotent", "attempts": 2, "timeout_ms": 600},
      {"name": "look", "host": "a.example", "prefix": "/z/", "public": true,
       "service": "shop", "kind": "idempotent"}, 5],
    "services": [{"name": "scribe", "max_conns": 30,
      "engine": {"slots": 8, "kv_tokens": 9000, "stride": 2}}],
    "tenants": [{"name": "north", "rate_per_s": 100, "burst": 900,
                 "api_keys": ["key-north-0001", 3]}],
    "limits": {"max_body_bytes": 77}})");
  REQUIRE(config);
  const Configuration& read = config.value();
  REQUIRE(read.version == 7);
  const RouteSpec* longest = read.FindHostRoute("a.example", "/x/y/1");
  REQUIRE(longest != nullptr);
  REQUIRE(longest->name == "pay");
  REQUIRE(longest->repeat == RepeatRule::kOnce);
  const RouteSpec* stream = read.FindHostRoute("a.example", "/x/1");
  REQUIRE(stream->repeat == RepeatRule::kResumable);
  REQUIRE(stream->streams);
  REQUIRE(stream->max_sends == 3);
  REQUIRE(read.FindHostRoute("a.example", "/z/1")->open);
  REQUIRE(read.FindHostRoute("b.example", "/x/1") == nullptr);
  REQUIRE(read.FindHostRoute("a.example", "/xx") == nullptr);
  REQUIRE(read.pools.at("scribe").engine->tokens_per_event == 2);
  REQUIRE(read.keys.size() == 1);
  REQUIRE(read.keys.at(Sha256Hex(kKey)).team == "north");
  REQUIRE(read.fleet.limits.max_body_bytes == 77);
  REQUIRE_FALSE(ReadConfiguration("{}"));
  REQUIRE_FALSE(ReadConfiguration(R"({"version": "7"})"));
}

TEST_CASE("platform: store answers are read and malformed elements skipped") {
  const auto answer = ReadStoreAnswer(R"({"as_of": 9, "events": [
    {"key": "servers/a", "rev": 8, "value": "aGk="},
    {"key": "servers/b", "rev": 9, "deleted": true},
    {"key": "servers/c", "rev": 9, "value": "!"}, {"rev": 1}, 4,
    {"key": "servers/d", "rev": "soon", "value": "aGk="},
    {"key": "servers/e", "rev": -4, "value": "aGk="}]})");
  REQUIRE(answer);
  REQUIRE(answer.value().as_of.number == 9);
  REQUIRE(answer.value().events.size() == 3);
  REQUIRE(answer.value().events[0].value == "hi");
  REQUIRE_FALSE(answer.value().events[1].value);
  REQUIRE(answer.value().events[2].value == "");
  REQUIRE_FALSE(ReadStoreAnswer("no json"));
}

RequestHead CallerHead() {
  RequestHead head{"POST", "/x/1?q=2"};
  head.headers.Add("Host", "a.example:80");
  head.headers.Add("X-Attempt-Id", "9c41");
  head.headers.Add("Authorization", std::string("Bearer ") + kKey);
  head.headers.Add("X-Token-Count", "120,30");
  head.headers.Add("X-Prefix-Hash", "5c:80,91:40");
  head.headers.Add("X-Deadline-Ms", "1500");
  head.headers.Add("X-Own", "kept");
  return head;
}

TEST_CASE("platform: a caller's headers are read into typed fields") {
  const auto read = PlatformCallers().Read(CallerHead(), "");
  REQUIRE(read);
  const CallerRequest& request = read.value();
  REQUIRE(request.attempt_id == "9c41");
  REQUIRE(request.host == "a.example");
  REQUIRE(request.path == "/x/1");
  REQUIRE(request.key == kKey);
  REQUIRE(request.budget_ms == 1500);
  REQUIRE(request.prompt_tokens == 120);
  REQUIRE(request.max_output_tokens == 30);
  REQUIRE(request.prefix.size() == 2);
  REQUIRE_FALSE(request.last_event_id);
}

TEST_CASE(
    "platform: endpoints get no API keys or reserved headers of callers") {
  RequestHead head = CallerHead();
  for (const char* name :
       {"X-Tenant", "X-Expect-Instance", "X-Not-Run", "X-Req-Priority",
        "X-Stage", "X-Kv-From", "Kv-Fetch", "X-Expect-Version", "X-Pin-Ms",
        "X-Hold", "X-Kv-Backup"}) {
    head.headers.Add(name, "forged");
  }
  head.headers.Add("X-Note", std::string("my key is ") + kKey);
  head.headers.Add("Connection", "X-Hop");
  head.headers.Add("X-Hop", "forged");
  const auto request = PlatformCallers().Read(head, "");
  EndpointRecord endpoint;
  endpoint.id = "i-1";
  endpoint.address = "127.0.0.5:9000";
  const std::string body = "the body";
  Dispatch dispatch{head, body, request.value(), endpoint};
  dispatch.team = "north";
  dispatch.remaining_ms = 900;
  const PlatformEndpoints endpoints;
  for (const OutgoingCall& call :
       {endpoints.Run(dispatch), endpoints.Prefill(dispatch)}) {
    const std::string bytes = WriteRequest(call.head, call.body);
    INFO(bytes);
    REQUIRE(bytes.find(kKey) == std::string::npos);
    REQUIRE(bytes.find("forged") == std::string::npos);
    REQUIRE(call.head.headers.Get("X-Expect-Instance") == "i-1");
    REQUIRE(call.head.headers.Get("X-Tenant") == "north");
    REQUIRE(call.head.headers.Get("X-Deadline-Ms") == "900");
    REQUIRE(call.head.headers.Get("X-Own") == "kept");
    REQUIRE(call.head.target == "/x/1?q=2");
    REQUIRE(call.body == body);
  }
  REQUIRE(endpoints.Prefill(dispatch).head.headers.Get("X-Stage") == "prefill");
}

TEST_CASE("platform: a request that may have run never gets a not-run status") {
  const PlatformCallers callers;
  const auto status = [&callers](ErrorKind kind, Ran ran) {
    Error error = Error::Of(kind, "test");
    error.ran = ran;
    return callers.ErrorHead(error).status;
  };
  const auto means_not_run = [](int code) {
    return code == 429 || code == 503 || code == 408 || code == 421;
  };
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    const auto error_kind = static_cast<ErrorKind>(kind);
    INFO(RowOf(error_kind).name);
    REQUIRE_FALSE(means_not_run(status(error_kind, Ran::kYes)));
    REQUIRE_FALSE(means_not_run(status(error_kind, Ran::kUnknown)));
    const int refused = status(error_kind, Ran::kNo);
    REQUIRE((refused < 500 || refused == 503));
  }
  Error later = Error::Of(ErrorKind::kCapacity, "test");
  later.ran = Ran::kNo;
  later.retry_after_ms = 250;
  REQUIRE(callers.ErrorHead(later).headers.Get("Retry-After") == "0.25");
}

TEST_CASE("platform: an answer is matched to its request by attempt id") {
  const PlatformEndpoints endpoints;
  CallerRequest request;
  request.attempt_id = "9c41";
  const auto classify = [&](int status,
                            const std::vector<HttpHeader>& headers) {
    ResponseHead head{status, {}};
    for (const HttpHeader& header : headers) {
      head.headers.Add(header.name, header.value);
    }
    return endpoints.Classify(head, "", request);
  };
  REQUIRE(classify(200, {{"X-Attempt-Id", "9c41"}}).matches_request);
  REQUIRE(classify(200, {{"X-Attempt-Id", "9c41"}}).success);
  REQUIRE_FALSE(classify(200, {{"X-Attempt-Id", "ffff"}}).matches_request);
  REQUIRE_FALSE(classify(200, {}).matches_request);
  const AnswerClass not_run = classify(503, {{"X-Not-Run", "1"}});
  REQUIRE(not_run.matches_request);
  REQUIRE(not_run.not_run);
  // Without X-Not-Run, a request that failed may have run.
  REQUIRE_FALSE(classify(503, {{"X-Attempt-Id", "9c41"}}).not_run);
  const AnswerClass reassigned = classify(421, {});
  REQUIRE(reassigned.address_reassigned);
  REQUIRE(reassigned.not_run);
}

TEST_CASE("platform: the limit that an endpoint names is read as a rate") {
  const PlatformEndpoints endpoints;
  CallerRequest request;
  const auto limit = [&](int status, const char* value) {
    ResponseHead head{status, {}};
    head.headers.Add("Server-Limit", value);
    return endpoints.Classify(head, "", request).max_requests_per_s;
  };
  REQUIRE(limit(200, "1.5") == 1.5);
  REQUIRE(limit(500, "7") == 7.0);
  REQUIRE(limit(200, "0") == 0.0);
  for (const char* invalid :
       {"", "many", "-1", "1.5x", "nan", "inf", "1e999"}) {
    INFO(invalid);
    REQUIRE_FALSE(limit(200, invalid));
  }
  // Another endpoint has the address now.
  REQUIRE_FALSE(limit(421, "1.5"));
  REQUIRE_FALSE(endpoints.Classify(ResponseHead{200, {}}, "", request)
                    .max_requests_per_s);
}

TEST_CASE("platform: a stream continues after the last complete event") {
  PlatformStream stream(2);
  REQUIRE(stream.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  REQUIRE(stream.LastEvent() == 1);
  REQUIRE(stream.Produced() == 2);
  stream.OnEnd(false);
  REQUIRE_FALSE(stream.Complete());
  REQUIRE(stream.Feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  stream.OnEnd(true);
  REQUIRE(stream.Complete());
}

TEST_CASE("platform: a stream's events do not depend on how bytes are split") {
  const std::string text = GENERATE(
      std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
      std::string("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid"));
  const std::string whole = text.substr(0, text.rfind("id"));
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t second = first; second <= text.size(); ++second) {
      PlatformStream stream(1);
      std::string passed = stream.Feed(text.substr(0, first));
      passed += stream.Feed(text.substr(first, second - first));
      passed += stream.Feed(text.substr(second));
      INFO(first << ' ' << second);
      REQUIRE(passed == whole);
      REQUIRE(stream.LastEvent() == 2);
    }
  }
}

TEST_CASE("platform: an address answer lists addresses with their TTL") {
  const PlatformAddresses addresses;
  REQUIRE(addresses.IsAddressRequest(
      RequestHead{"GET", "/limpethaven/resolve?zone=a"}));
  REQUIRE_FALSE(
      addresses.IsAddressRequest(RequestHead{"GET", "/limpethaven/ready"}));
  REQUIRE(addresses.CallerDataCentre(
              RequestHead{"GET", "/limpethaven/resolve?zone=a"}) == "a");
  const AddressAnswer answer = addresses.Answer({"127.0.0.9:8080"}, 1500);
  const json body = json::parse(answer.body);
  REQUIRE(body["addrs"] == json::array({"127.0.0.9:8080"}));
  REQUIRE(body["ttl_s"] == 1.5);
}

}  // namespace
}  // namespace limpethaven::platform
