/// @file
/// Checks of service files: entries without effect, contradictions, odd files,
/// and differences from another version.
#include "limpethaven/config_check.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

#include "edge/config_reader.h"

namespace limpethaven {
namespace {

constexpr std::string_view kDigest =
    "32262c0b14e698c10ca5fcd322a013b078c1f9a6a8fea0743dbc697375128bb0";

std::string ReadExample(const std::string& service) {
  std::ifstream in(std::string(LIMPETHAVEN_SOURCE_DIR) + "/examples/services/" +
                   service + "/limpethaven.toml");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

std::vector<Finding> CheckText(const std::string& text) {
  return CheckServiceFiles({ServiceFile{"a.toml", text}});
}

/// Whether a finding has this text, at this line unless it is 0.
bool Has(const std::vector<Finding>& findings, std::string_view text,
         std::uint32_t line = 0) {
  return std::ranges::any_of(findings, [&](const Finding& finding) {
    return finding.fault.message.find(text) != std::string::npos &&
           (line == 0 || finding.fault.line == line);
  });
}

/// A configuration without findings.
Configuration CleanConfiguration() {
  Configuration config;
  TeamSpec team;
  team.name = "north";
  team.rate_tokens_per_s = 1000;
  team.burst_tokens = 50'000;
  config.teams.emplace(team.name, team);
  config.keys.emplace(kDigest, KeySpec{std::string(kDigest), "north"});
  PoolSpec pool;
  pool.name = "engines";
  pool.engine = EngineSpec{16, 30'000, 1000, 10'000, 500, 1};
  pool.endpoints.resize(2);
  config.pools.emplace(pool.name, pool);
  RouteSpec route;
  route.host = "h";
  route.path = "/generate/";
  route.pool = "engines";
  route.first_token_ms = 900;
  route.timeout_ms = 9000;
  config.routes.emplace("h/generate/", route);
  return config;
}

TEST_CASE("check: the examples are clean, alone and together") {
  const ServiceFile ledger{"ledger", ReadExample("ledger")};
  const ServiceFile scribe{"scribe", ReadExample("scribe")};
  REQUIRE_FALSE(ledger.text.empty());
  CHECK(CheckServiceFiles({ledger}).empty());
  CHECK(CheckServiceFiles({scribe}).empty());
  CHECK(CheckServiceFiles({ledger, scribe}).empty());
  CHECK(CheckConfiguration(CleanConfiguration(), {}).empty());
}

TEST_CASE("check: entries that never match are found at their lines") {
  const std::vector<Finding> findings = CheckText(
      "[[pool]]\nname = \"a\"\nrole = \"service\"\nendpoints = "
      "[\"1.2.3.4:1\"]\n"
      "[[pool]]\nname = \"b\"\nrole = \"service\"\nendpoints = "
      "[\"1.2.3.4:2\"]\n"
      "[[route]]\npath = \"/s/x\"\npool = \"a\"\n"
      "[[route]]\npath = \"/s/x/\"\npool = \"a\"\n"
      "[[route]]\npath = \"/s/y?q\"\npool = \"a\"\n");
  CHECK(findings.size() == 3);
  CHECK(Has(findings, "pool 'b' is used by no route", 5));
  CHECK(Has(findings, "route '/s/x' is hidden by route '/s/x/'", 9));
  CHECK(Has(findings, "route '/s/y?q' never matches", 15));
  // A key of no team and an equal route are faults of the files themselves.
  const std::vector<Finding> faults = CheckText(
      "[[key]]\nsha256 = \"" + std::string(kDigest) + "\"\nteam = \"none\"\n");
  CHECK(Has(faults, "no file defines team 'none'", 1));
  const std::string route = "[[route]]\npath = \"/s/x\"\npool = \"a\"\n";
  CHECK(Has(CheckText(route + route), "already defined by an earlier", 4));
}

TEST_CASE("check: a pool of the wrong role is found") {
  std::string text = ReadExample("scribe");
  const std::string field = "prefill = \"scribe-prefill\"";
  text.replace(text.find(field), field.size(), "prefill = \"scribe-decode\"");
  const std::vector<Finding> findings = CheckText(text);
  CHECK(Has(findings, "for prefill, but its role is decode"));
  CHECK(Has(findings, "pool 'scribe-prefill' is used by no route"));
}

TEST_CASE("check: contradicting limits are found") {
  const EntryPlaces places{{"team/north", {"a.toml", 7, 1}},
                           {"route/h/generate/", {"a.toml", 3, 1}}};
  Configuration config = CleanConfiguration();
  const auto check = [&] { return CheckConfiguration(config, places); };
  TeamSpec& team = config.teams.at("north");
  RouteSpec& route = config.routes.at("h/generate/");

  team.burst_tokens = 29'999;
  CHECK(Has(check(), "largest request that an engine holds, 30000", 7));
  team.burst_tokens = 50'000;
  team.plain_tokens = 50'001;
  CHECK(Has(check(), "below the charge of a plain request, 50001", 7));
  team.plain_tokens = 0;
  team.rate_tokens_per_s = 0;
  CHECK(Has(check(), "rate 0 and burst 50000", 7));
  team.rate_tokens_per_s = 1000;

  route.timeout_ms = 899;
  CHECK(Has(check(), "timeout_ms, 899, is below first_token_ms, 900", 3));
  route.timeout_ms = 0;
  CHECK(check().empty());
  route.max_sends = 4;
  CHECK(Has(check(), "max_sends, 4, is above the number of endpoints, 2", 3));
  route.max_sends = 2;
  route.targets = {WeightedPool{"engines", 1}, WeightedPool{"none", 0}};
  CHECK(Has(check(), "target 'none' has weight 0", 3));
  route.targets.clear();
  route.path = "/generate";
  CHECK(Has(check(), "must begin and end with a slash", 3));
  route.path = "/generate/";

  config.fleet.limits.max_header_bytes = 5'000'000;
  CHECK(Has(check(), "max_header_bytes, 5000000, is above max_body_bytes"));
  config.fleet.limits = CallerLimits{};
  config.keys.begin()->second.team = "gone";
  const std::vector<Finding> findings = check();
  REQUIRE(findings.size() == 1);
  CHECK(Has(findings, "belongs to no team: there is no team 'gone'"));
  CHECK_FALSE(Has(findings, kDigest));
}

// Guards against files on which the check crashes, or that it passes.
TEST_CASE("check: odd files give an error with a place") {
  const std::string deep(20'000, '[');
  const auto text = GENERATE_COPY(
      std::string(), std::string("# nothing\n"), std::string("service = \"a\""),
      "a = " + deep, "a = " + std::string(20'000, '{'),
      "a = " + deep + std::string(20'000, ']'), "[a" + std::string(2000, '.'),
      std::string("name = \"\xff\xfe\""), std::string("\xc3\x28 = 1"),
      std::string("\0\0\0", 3),
      std::string("[[team]]\nname = \"a\"\nrate = 99999999999999999999\n"
                  "burst = 1\n"),
      std::string("[[team]]\nname = \"a\"\nrate = 9223372036854775807\n"
                  "burst = 1\n"),
      std::string("[[team]]\nname = \"a\"\nrate = 1e999\nburst = nan\n"),
      std::string("[fleet]\nshare_slots = -9223372036854775808\n"),
      std::string("team = 1\n"), std::string("fleet = 1\n"),
      std::string("pool = [1, \"a\", []]\n"),
      std::string("[[pool]]\nname = \"a\"\nrole = \"service\"\n"
                  "endpoints = [[[]], 1, {}]\n"));
  INFO(text.substr(0, 60));
  const std::vector<Finding> findings = CheckText(text);
  REQUIRE_FALSE(findings.empty());
  std::ranges::for_each(findings, [](const Finding& finding) {
    CHECK(finding.severity == Severity::kError);
    CHECK(finding.fault.path == "a.toml");
    CHECK(finding.fault.line > 0);
    CHECK_FALSE(finding.fault.message.empty());
  });
}

TEST_CASE("check: files that cannot be read are no findings") {
  const std::string folder =
      std::string(LIMPETHAVEN_SOURCE_DIR) + "/examples/services";
  const std::vector<std::string> sources = {folder, folder + "/none.json",
                                            "/dev/null/x"};
  std::ranges::for_each(sources, [](const std::string& source) {
    INFO(source);
    const Result<std::vector<Entity>> entities = ReadEntities(source);
    REQUIRE_FALSE(entities.has_value());
    CHECK(entities.error().message.find(source) != std::string::npos);
    CHECK_FALSE(CheckConfigFiles({source}).has_value());
  });
  // Nothing listens at this address.
  CHECK_FALSE(ReadEntities("127.0.0.1:1").has_value());
  const Result<CheckedFiles> clean =
      CheckConfigFiles({folder + "/scribe/limpethaven.toml"});
  REQUIRE(clean.has_value());
  CHECK(clean.value().findings.empty());
  CHECK(
      CompareEntities(ReadEntities(folder + "/scribe/limpethaven.toml").value(),
                      clean.value().entities)
          .empty());
}

TEST_CASE("check: differences are grouped, and keys are shown cut") {
  const Configuration before = CleanConfiguration();
  Configuration after = before;
  after.teams.at("north").burst_tokens = 60'000;
  after.routes.at("h/generate/").timeout_ms = 1000;
  after.keys.clear();
  PoolSpec pool;
  pool.name = "shop";
  after.pools.emplace(pool.name, pool);
  std::ostringstream out;
  const std::vector<EntityDifference> differences =
      CompareEntities(ShownEntities(before), EncodeEntities(after));
  std::ranges::for_each(differences, [&out](const EntityDifference& row) {
    out << row.group << ' ' << row << '\n';
  });
  CHECK(out.str() ==
        "route ~ h/generate/: timeout_ms 9000 -> 1000\n"
        "pool + shop\n"
        "team ~ north: burst_tokens 50000 -> 60000\n"
        "key - 32262c0b14e6\n");
  CHECK(CompareEntities(ShownEntities(before), EncodeEntities(before)).empty());
  CHECK(EncodeEntityList(ShownEntities(before)).find(kDigest) ==
        std::string::npos);
}

}  // namespace
}  // namespace limpethaven
