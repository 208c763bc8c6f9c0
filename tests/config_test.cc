/// @file
/// Tests of the configuration: parsing of service files, route lookup, the
/// codec of published values, and followers, whose version must never decrease.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_file.h"
#include "limpethaven/config_follower.h"

namespace limpethaven {
namespace {

const std::string kDigest(64, 'a');

std::string ValidFile() {
  return "[fleet]\nshare_slots = 8\n"
         "[[team]]\nname = \"north\"\nrate = 1000\nburst = 5000\n"
         "[[key]]\nsha256 = \"" +
         kDigest +
         "\"\nteam = \"north\"\n"
         "[[pool]]\nname = \"p\"\nrole = \"mixed\"\nmodel = \"m\"\npieces = 8\n"
         "endpoints = [\"10.0.0.1:9000\", {address = \"10.0.0.2:9000\", "
         "leaving = true}]\n"
         "[[route]]\npath = \"/v1/completions\"\nmodel = \"m\"\nprefill = "
         "\"p\"\ndecode = \"p\"\n";
}

std::vector<FileFault> FaultsOf(const std::string& text) {
  return ParseServiceFiles({ServiceFile{"a.toml", text}}).faults;
}

TEST_CASE("service files are parsed into a configuration") {
  const ParsedFiles parsed =
      ParseServiceFiles({ServiceFile{"a.toml", ValidFile()}});
  REQUIRE(parsed.faults.empty());
  REQUIRE(parsed.config.teams.at("north").burst_tokens == 5000);
  REQUIRE(parsed.config.pools.at("p").endpoints.at(1).leaving);
  REQUIRE(parsed.config.FindModelRoute("m") != nullptr);
  REQUIRE(parsed.config.FindTeamByKeyDigest(kDigest)->name == "north");
}

TEST_CASE(
    "service files: every fault is reported with its position and the expected "
    "value") {
  const auto faults = FaultsOf(
      "[[team]]\nname = \"north\"\nrate = 0\nburst = \"many\"\ncolour = 1\n"
      "[[key]]\nsha256 = \"short\"\nteam = \"north\"\n"
      "[[route]]\npath = \"/s/x\"\npool = \"nowhere\"\n");
  REQUIRE(faults.size() == 5);
  REQUIRE(faults[0].line == 3);
  REQUIRE(faults[0].column == 8);
  REQUIRE(faults[0].message.find("from 1 to") != std::string::npos);
  REQUIRE(faults[1].line == 4);
  REQUIRE(faults[2].message.find("unknown field 'colour'") !=
          std::string::npos);
  REQUIRE(faults[3].message.find("64 lower-case hexadecimal") !=
          std::string::npos);
  REQUIRE(faults[4].message.find("no file defines pool 'nowhere'") !=
          std::string::npos);
}

TEST_CASE("service files: a syntax error is reported with its line") {
  const auto faults = FaultsOf("[[team]\nname = 1\n");
  REQUIRE(faults.size() == 1);
  REQUIRE(faults[0].line == 1);
}

TEST_CASE("service files that define a team twice are rejected") {
  const auto parsed = ParseServiceFiles(
      {ServiceFile{"a.toml", ValidFile()},
       ServiceFile{"b.toml",
                   "[[team]]\nname = \"north\"\nrate = 1\nburst = 1\n"}});
  REQUIRE(parsed.faults.size() == 1);
  REQUIRE(parsed.faults[0].path == "b.toml");
}

TEST_CASE("service routes match by the longest prefix of whole path segments") {
  Configuration config;
  config.routes.emplace("/s/a", RouteSpec{"/s/a", "", "", "", "p1"});
  config.routes.emplace("/s/a/b", RouteSpec{"/s/a/b", "", "", "", "p2"});
  REQUIRE(config.FindServiceRoute("/s/a/b/c")->pool == "p2");
  REQUIRE(config.FindServiceRoute("/s/a/x")->pool == "p1");
  REQUIRE(config.FindServiceRoute("/s/ab") == nullptr);
  REQUIRE(config.FindServiceRoute("/s") == nullptr);
}

/// Applies changes to a table of entities and numbers them as versions.
class Publisher {
 public:
  ConfigChange Publish(const std::vector<Entity>& upserts,
                       const std::vector<std::string>& removals) {
    this->table.Apply(upserts, removals);
    return ConfigChange{++this->version, this->table.Digest(), upserts,
                        removals};
  }
  [[nodiscard]] const EntityTable& Table() const { return this->table; }
  [[nodiscard]] std::uint64_t Version() const { return this->version; }

 private:
  EntityTable table;
  std::uint64_t version = 0;
};

Entity TeamEntity(int number, int rate) {
  const std::string name = "t" + std::to_string(number);
  return Entity{"team/" + name, R"({"burst_tokens":1,"name":")" + name +
                                    R"(","rate_tokens_per_s":)" +
                                    std::to_string(rate) + R"(,"weight":1})"};
}

TEST_CASE("config codec decodes what it encodes and rejects a malformed head") {
  const ParsedFiles parsed =
      ParseServiceFiles({ServiceFile{"a.toml", ValidFile()}});
  Configuration decoded;
  for (const Entity& entity : EncodeEntities(parsed.config)) {
    REQUIRE(ApplyEntity(decoded, entity));
  }
  REQUIRE(decoded.teams == parsed.config.teams);
  REQUIRE(decoded.pools == parsed.config.pools);
  REQUIRE(decoded.routes == parsed.config.routes);
  const ConfigChange change{3, "d", {TeamEntity(1, 2)}, {"team/x"}};
  REQUIRE(DecodeChange(EncodeChange(change)).value() == change);
  const ConfigHead head{3, "d", {"c1"}, {change}};
  REQUIRE(DecodeHead(EncodeHead(head)).value() == head);
  REQUIRE_FALSE(DecodeHead("{}"));
  REQUIRE_FALSE(DecodeHead("["));
}

TEST_CASE(
    "config follower rejects older versions, gaps between versions and wrong "
    "digests") {
  Publisher publisher;
  ConfigFollower follower;
  const auto first = publisher.Publish({TeamEntity(1, 10)}, {});
  REQUIRE(follower.ApplyChanges({first}));
  auto second = publisher.Publish({TeamEntity(2, 10)}, {});
  const auto third = publisher.Publish({TeamEntity(3, 10)}, {});
  REQUIRE_FALSE(follower.ApplyChanges({third}));
  REQUIRE(follower.Snapshot()->version == 1);
  const std::string digest = second.digest;
  second.digest = "wrong";
  REQUIRE_FALSE(follower.ApplyChanges({second}));
  REQUIRE(follower.Snapshot()->version == 1);
  second.digest = digest;
  REQUIRE(follower.ApplyChanges({first, second, third}));
  REQUIRE(follower.Snapshot()->version == 3);
  REQUIRE_FALSE(follower.ApplySnapshot(2, digest,
                                       {TeamEntity(1, 10), TeamEntity(2, 10)}));
  REQUIRE(follower.Compare(3, "other") == VersionComparison::kConflict);
  REQUIRE(follower.Compare(2, "any") == VersionComparison::kOlder);
}

/// Guards against a follower that reverts to an older version when stale
/// changes of the platform, changes or snapshots of peers, and restarts are
/// interleaved, and against followers that do not converge on the newest
/// version.
TEST_CASE(
    "config followers that exchange changes never revert to an older version "
    "and converge on the newest") {
  REQUIRE(rc::check("versions never decrease and digests match", [] {
    Publisher publisher;
    std::vector<ConfigChange> published;
    std::vector<ConfigFollower> followers(3);
    const auto steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
    for (const unsigned step : steps) {
      ConfigFollower& target = followers[step % 3];
      const std::uint64_t before = target.Snapshot()->version;
      switch (step / 3 % 5) {
        case 0:
          published.push_back(publisher.Publish(
              {TeamEntity(static_cast<int>(step % 7), static_cast<int>(step))},
              {}));
          break;
        case 1:
          published.push_back(
              publisher.Publish({}, {"team/t" + std::to_string(step % 7)}));
          break;
        case 2:  // The platform sends changes, possibly stale ones.
          if (!published.empty()) {
            const std::size_t last = step % published.size();
            static_cast<void>(target.ApplyChanges(
                {published.begin(),
                 published.begin() + static_cast<std::ptrdiff_t>(last) + 1}));
          }
          break;
        case 3: {  // A peer sends its changes, or a snapshot when it lacks
                   // them.
          const ConfigFollower& peer = followers[(step + 1) % 3];
          const auto changes = peer.ChangesAfter(before);
          if (changes.empty()) {
            static_cast<void>(target.ApplySnapshot(peer.Snapshot()->version,
                                                   peer.Snapshot()->digest,
                                                   peer.Entities()));
          } else {
            static_cast<void>(target.ApplyChanges(changes));
          }
          break;
        }
        default:
          // A restart loses all state. The version may start again at 0,
          // because the process serves only after it has caught up from a peer.
          target = ConfigFollower();
          continue;
      }
      RC_ASSERT(target.Snapshot()->version >= before);
    }
    for (ConfigFollower& follower : followers) {
      if (publisher.Version() == 0) break;
      if (follower.Snapshot()->version < publisher.Version()) {
        RC_ASSERT(follower
                      .ApplySnapshot(publisher.Version(),
                                     publisher.Table().Digest(),
                                     publisher.Table().All())
                      .has_value());
      }
      RC_ASSERT(follower.Snapshot()->digest == publisher.Table().Digest());
    }
  }));
}

}  // namespace
}  // namespace limpethaven
