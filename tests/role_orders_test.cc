/// @file
/// Tests of the call that orders a role change, of its settings, and of the
/// messages that carry the terms of orders.
#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "entry/native_endpoints.h"
#include "limpethaven/config_codec.h"
#include "peer/cell_messages.h"
#include "platform/dialect.h"
#include "platform/store_items.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// Engine settings that the platform's adapter reads from a published pool.
EngineSpec ReadEngine(const json& engine) {
  const json root = {
      {"version", 1},
      {"services", json::array({{{"name", "scribe"}, {"engine", engine}}})}};
  return *platform::ReadConfiguration(root.dump())
              .value()
              .pools.at("scribe")
              .engine;
}

}  // namespace

TEST_CASE("the platform's order names role, holder, token and engine") {
  const platform::PlatformEndpoints dialect;
  const auto call = dialect.ChangeRole(
      RoleChange{"e-7", PoolRole::kDecode, "10.0.0.1", (1ULL << 53) - 1});
  REQUIRE(call);
  CHECK(call->head.method == "POST");
  CHECK(call->head.target == "/limpethaven/order");
  CHECK(call->head.headers.Get("X-Expect-Instance") == "e-7");
  CHECK(json::parse(call->body) == json({{"op", "stage"},
                                         {"stage", "decode"},
                                         {"holder", "10.0.0.1"},
                                         {"fence", (1ULL << 53) - 1}}));
  CHECK_FALSE(
      dialect.ChangeRole(RoleChange{"e-7", PoolRole::kMixed, "10.0.0.1", 1}));
}

TEST_CASE("only an acceptance starts a role change") {
  const platform::PlatformEndpoints dialect;
  const auto classify = [&dialect](int status) {
    return dialect.ClassifyRoleChange(ResponseHead{status, {}});
  };
  CHECK(classify(202) == RoleOrderOutcome::kAccepted);
  CHECK(classify(200) == RoleOrderOutcome::kAlreadyInRole);
  CHECK(classify(409) == RoleOrderOutcome::kBusy);
  CHECK(classify(412) == RoleOrderOutcome::kOutdated);
  CHECK(classify(400) == RoleOrderOutcome::kRefused);
  CHECK(classify(421) == RoleOrderOutcome::kRefused);
  CHECK(classify(500) == RoleOrderOutcome::kUnknown);
  CHECK(classify(204) == RoleOrderOutcome::kUnknown);
}

TEST_CASE("the product's engines get no role orders from entry processes") {
  // Tokens of two kinds at one engine would not be ordered.
  CHECK_FALSE(NativeEndpoints("").ChangeRole(
      RoleChange{"e-7", PoolRole::kDecode, "10.0.0.1", 1}));
}

TEST_CASE("roles are balanced where slots are few and a change time is given") {
  const EngineSpec few = ReadEngine({{"slots", 16}, {"stage_switch_s", 2.5}});
  CHECK(few.role_change_ms == 2500);
  CHECK(few.balance_roles);
  const EngineSpec many = ReadEngine({{"slots", 17}, {"stage_switch_s", 6}});
  CHECK(many.role_change_ms == 6000);
  CHECK_FALSE(many.balance_roles);
  CHECK_FALSE(ReadEngine({{"slots", 12}}).balance_roles);
  CHECK_FALSE(ReadEngine({{"stage_switch_s", 6}}).balance_roles);
}

TEST_CASE("an impossible change time leaves the roles fixed") {
  // The rest of the configuration stays in force.
  const json value = GENERATE(json(-1), json(0), json(1e300), json("6"),
                              json(true), json(nullptr), json(601));
  const EngineSpec engine =
      ReadEngine({{"slots", 12}, {"stage_switch_s", value}});
  CHECK(engine.role_change_ms == 0);
  CHECK_FALSE(engine.balance_roles);
  CHECK(engine.slots == 12);
}

TEST_CASE("peers pass the settings of role changes on") {
  Configuration config;
  PoolSpec pool;
  pool.name = "scribe";
  pool.engine = EngineSpec{};
  pool.engine->role_change_ms = 6000;
  pool.engine->balance_roles = true;
  config.pools.emplace(pool.name, pool);
  Configuration decoded;
  const std::vector<Entity> entities = EncodeEntities(config);
  std::ranges::for_each(entities, [&decoded](const Entity& entity) {
    CHECK(ApplyEntity(decoded, entity));
  });
  CHECK(decoded.pools.at("scribe") == pool);
}

TEST_CASE("invalid role settings of a peer are refused and change nothing") {
  const auto [engine, error] =
      GENERATE(std::pair(R"({"role_change_ms":-1})",
                         "role_change_ms: expected 0 or more, got -1"),
               std::pair(R"({"balance_roles":true})",
                         "balance_roles: expected a role_change_ms above 0"));
  Configuration config;
  const Entity entity{
      "pool/scribe",
      std::string(R"({"name":"scribe","engine":)") + engine + "}"};
  const auto applied = ApplyEntity(config, entity);
  REQUIRE_FALSE(applied);
  CHECK(applied.error().message.find(error) != std::string::npos);
  CHECK(config.pools.empty());
}

TEST_CASE("order marks travel with placements, and may be missing") {
  // Processes of an earlier version neither send nor read them.
  const OrderMark mark{OrderTerm{{2, 7}, 3}, 0xABC, 357};
  CellPlacementRequest request;
  request.cell = "scribe/0";
  request.mark = mark;
  json body = request;
  CHECK(body.get<CellPlacementRequest>().mark == mark);
  body.erase(body.size() - 1);
  CHECK(body.get<CellPlacementRequest>().mark == OrderMark{});
  CellPlacementAnswer answer;
  answer.mark = mark;
  body = answer;
  CHECK(body.get<CellPlacementAnswer>().mark == mark);
  body.erase(body.size() - 1);
  CHECK(body.get<CellPlacementAnswer>().mark == OrderMark{});
  CellReport report;
  report.marks.emplace_back("scribe/0", mark);
  body = report;
  CHECK(body.get<CellReport>().marks == report.marks);
  report.start = ProcessStart{{2, 5}, 700};
  body = report;
  CHECK(body.get<CellReport>().start == report.start);
  body.erase(body.size() - 1);
  CHECK_FALSE(body.get<CellReport>().start);
  CHECK(body.get<CellReport>().marks == report.marks);
  body.erase(body.size() - 1);
  CHECK(body.get<CellReport>().marks.empty());
}

TEST_CASE("an order mark of an earlier version counts as none") {
  // Such a mark has a term of another kind, and three fields.
  json body = CellReport{};
  body[3] = json::array({json::array({"scribe/0", json::array({7, 9, 357})})});
  const CellReport report = body.get<CellReport>();
  REQUIRE(report.marks.size() == 1);
  CHECK(report.marks.front().second.term == OrderTerm{});
}

}  // namespace limpethaven
