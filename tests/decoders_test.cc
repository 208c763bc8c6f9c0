/// @file
/// Decoders of bytes that come from outside: they must not throw, whatever they
/// are given. Guards against one malformed message that ends a process.
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "limpethaven/crypto.h"
#include "limpethaven/error.h"
#include "limpethaven/membership.h"
#include "net/http_parser.h"
#include "node/state_watch.h"
#include "peer/cell_messages.h"
#include "platform/dialect.h"
#include "platform/settings.h"
#include "platform/store_items.h"
#include "platform/store_source.h"

namespace limpethaven {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kVariants = 3000;
constexpr std::size_t kTagBytes = 16;

/// Texts that decoders may not expect.
constexpr std::array<std::string_view, 10> kTokens = {
    "null",    "-1",    "[]",
    "{}",      "1e999", "\"x\"",
    "true",    "\n\n",  "99999999999999999999",
    "\xff\xfe"};

/// Changes some bytes of a valid text, and at times cuts or repeats a part.
std::string Mutate(const std::string& text, std::mt19937_64& random) {
  const auto draw = [&random](std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit)(random);
  };
  std::string mutated = text;
  const std::size_t changes = 1 + draw(4);
  for (std::size_t change = 0; change < changes && !mutated.empty(); ++change) {
    const std::size_t at = draw(mutated.size() - 1);
    switch (draw(4)) {
      case 0:
        mutated[at] = static_cast<char>(draw(255));
        break;
      case 1:
        mutated.erase(at, 1 + draw(8));
        break;
      case 2:
        mutated.insert(at, mutated.substr(draw(mutated.size() - 1), draw(12)));
        break;
      case 3:
        mutated.resize(at);
        break;
      default:
        mutated.insert(at, kTokens.at(draw(kTokens.size() - 1)));
    }
  }
  return mutated;
}

/// Gives mutated forms of a sample to a decoder.
void CheckDecoder(const char* name, const std::string& sample,
                  const std::function<void(const std::string&)>& decode) {
  std::mt19937_64 random(kSeed);
  decode(sample);
  for (int variant = 0; variant < kVariants; ++variant) {
    const std::string text = Mutate(sample, random);
    try {
      decode(text);
    } catch (const std::exception& fault) {
      INFO(name << " threw " << fault.what() << " on " << text);
      FAIL();
    }
  }
}

TEST_CASE("decoders of the platform's bytes do not throw") {
  CheckDecoder("settings",
               R"({"node":"vm-1","ip":"127.0.0.9","zone":"a",
      "listen":{"front":"127.0.0.9:8080"},"platform":{"addr":"127.0.0.1:9000"},
      "port_range":[7000,7099],"seeds":["127.0.0.1:7"],
      "bounds":{"grace_s":8,"drain_ms":2000,"quota_window_s":2},
      "limits":{"cores":1}})",
               [](const std::string& text) {
                 static_cast<void>(platform::ParseSettings(text));
               });
  CheckDecoder(
      "endpoint",
      R"({"service":"scribe","addr":"127.0.0.5:9000","zone":"a","version":"1",
      "slots":8,"state":"ready","cold_left_ms":0,"seq":4,"stage":"decode",
      "born":1700000000123})",
      [](const std::string& text) {
        static_cast<void>(platform::ReadEndpoint("i-1", text));
      });
  CheckDecoder("configuration",
               R"({"version":7,"routes":[{"name":"ask","host":"a.example",
      "prefix":"/x/","service":"s","kind":"stream","can_resume":true,
      "attempts":3,"timeout_ms":9000,"slo_ms":800,
      "split":[{"service":"s","weight":2}]}],
      "services":[{"name":"s","max_conns":30,
      "engine":{"slots":8,"kv_tokens":9000,"handle_ttl_s":0.5}}],
      "tenants":[{"name":"n","rate_per_s":100,"burst":900,"api_keys":["k"],
      "priority":1}],"limits":{"max_body_bytes":77}})",
               [](const std::string& text) {
                 static_cast<void>(platform::ReadConfiguration(text));
               });
  CheckDecoder("store answer",
               R"({"as_of":9,"has_more":false,
      "events":[{"key":"servers/a","rev":8,"value":"aGk="},
      {"key":"servers/b","rev":9,"deleted":true}],
      "items":[{"key":"op/config","rev":1}]})",
               [](const std::string& text) {
                 static_cast<void>(platform::ReadStoreAnswer(text));
               });
  CheckDecoder("load report",
               R"({"stage":"decode","queued":1,"running":12,"kv_used":4})",
               [](const std::string& text) {
                 const platform::PlatformEndpoints endpoints;
                 static_cast<void>(endpoints.ParseLoad(text));
                 static_cast<void>(endpoints.ParseHandle(text));
               });
  CheckDecoder("error body",
               ToJsonBody(Error::Of(ErrorKind::kCapacity, "text")),
               [](const std::string& text) {
                 const auto error = ErrorFromJsonBody(text);
                 if (error) static_cast<void>(ToJsonBody(*error));
               });
}

TEST_CASE("decoders of heads do not throw") {
  CheckDecoder("response",
               "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Not-Run: 1\r\n"
               "Retry-After: 1.5\r\nServer-Leaving: 1\r\nServer-Limit: 2.0\r\n"
               "Content-Length: 2\r\n\r\nok",
               [](const std::string& text) {
                 HttpParser parser(HttpParser::Kind::kResponse,
                                   MessageLimits{});
                 static_cast<void>(parser.Put(text));
                 if (!parser.HeadDone()) return;
                 CallerRequest request;
                 request.attempt_id = "r1";
                 static_cast<void>(platform::PlatformEndpoints().Classify(
                     parser.Response(), {}, request));
               });
  CheckDecoder("request",
               "POST /x/1?q=2 HTTP/1.1\r\nHost: a.example:80\r\n"
               "X-Attempt-Id: 9c41\r\nAuthorization: Bearer k\r\n"
               "X-Token-Count: 120,30\r\nX-Prefix-Hash: 5c:80,91:40\r\n"
               "X-Deadline-Ms: 1500\r\nLast-Event-Id: 3\r\n"
               "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
               [](const std::string& text) {
                 HttpParser parser(HttpParser::Kind::kRequest, MessageLimits{});
                 static_cast<void>(parser.Put(text));
                 if (!parser.Done()) return;
                 const auto read =
                     platform::PlatformCallers().Read(parser.Request(), "");
                 if (!read) static_cast<void>(ToJsonBody(read.error()));
               });
}

TEST_CASE("decoders of peers' bytes throw nothing that is not caught") {
  GossipMessage message;
  message.from = VmId{"10.0.0.1", 7};
  message.updates.push_back(MemberUpdate{"10.0.0.2", "a", 5});
  message.evidence.push_back(PartEvidence{"part", 1, {{5, 100}}, {}});
  message.leaving_endpoints = {{"a", 10}};
  message.load = LoadReport{3, 2000, {{7, 5, 300, 1}}};
  CheckDecoder("gossip", EncodeGossip("s", message).substr(kTagBytes),
               [](const std::string& text) {
                 const std::string tag =
                     HmacSha256("s", text).substr(0, kTagBytes);
                 static_cast<void>(DecodeGossip("s", tag + text));
               });
  const std::string watch = EncodeWatchRequest(
      StateWatchRequest{KnownState{7, SourceRevision{2, 41}}, 500, 9});
  CheckDecoder("state watch", watch, [](const std::string& text) {
    const auto request = DecodeWatchRequest(text);
    if (!request) return;
    REQUIRE(request.value().wait_ms >= 0);
    REQUIRE(request.value().wait_ms <= kMaxStateWatchMs);
  });
  CheckDecoder(
      "state watch answer",
      R"({"version":7,"digest":"d","known":true,"revision":[2,41],"gone":[],
      "announced":[],"as_of":[2,44],"state":3,"waited_ms":120,
      "source_age_ms":340})",
      [](const std::string& text) {
        const auto answer = DecodeWatchAnswer(text);
        if (!answer) return;
        REQUIRE(answer.value().waited_ms >= 0);
        REQUIRE(answer.value().source_age_ms.value_or(0) >= 0);
      });
  // The exchange catches the JSON library's exceptions, and no others.
  CellPlacementRequest placement;
  placement.cell = "m/0";
  placement.request.hint = 4;
  placement.request.excluded = {"e"};
  placement.engine_limits = {{"e", 2.0}};
  CellReport report;
  report.notices.push_back(CellNotice{});
  report.renewals.emplace_back("m/0", Renewal{});
  report.loads.emplace_back("m/0", CellLoad{});
  for (const nlohmann::json& json :
       {nlohmann::json(placement), nlohmann::json(CellPlacementAnswer{}),
        nlohmann::json(report)}) {
    CheckDecoder("cell message", json.dump(), [](const std::string& text) {
      const auto parsed = nlohmann::json::parse(text, nullptr, false);
      const auto read = [&parsed](auto decoded) {
        try {
          parsed.get_to(decoded);
        } catch (const nlohmann::json::exception&) {
          return;
        }
      };
      read(CellPlacementRequest{});
      read(CellPlacementAnswer{});
      read(CellReport{});
    });
  }
}

}  // namespace
}  // namespace limpethaven
