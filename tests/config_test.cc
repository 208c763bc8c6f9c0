/// @file
/// Configuration: files, chunks, changes, and following that never goes back.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_file.h"
#include "limpethaven/config_follower.h"

namespace limpethaven {
namespace {

const std::string kDigest(64, 'a');

std::string GoodFile() {
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

TEST_CASE("service files become a configuration") {
  const ParsedFiles parsed =
      ParseServiceFiles({ServiceFile{"a.toml", GoodFile()}});
  REQUIRE(parsed.faults.empty());
  REQUIRE(parsed.config.teams.at("north").burst_tokens == 5000);
  REQUIRE(parsed.config.pools.at("p").endpoints.at(1).leaving);
  REQUIRE(parsed.config.FindModelRoute("m") != nullptr);
  REQUIRE(parsed.config.FindTeamByKeyDigest(kDigest)->name == "north");
}

TEST_CASE(
    "service files report every fault with its place and what was expected") {
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

TEST_CASE("service files that are not TOML name line and column") {
  const auto faults = FaultsOf("[[team]\nname = 1\n");
  REQUIRE(faults.size() == 1);
  REQUIRE(faults[0].line == 1);
}

TEST_CASE("service files that define the same team are refused") {
  const auto parsed = ParseServiceFiles(
      {ServiceFile{"a.toml", GoodFile()},
       ServiceFile{"b.toml",
                   "[[team]]\nname = \"north\"\nrate = 1\nburst = 1\n"}});
  REQUIRE(parsed.faults.size() == 1);
  REQUIRE(parsed.faults[0].path == "b.toml");
}

TEST_CASE("service routes match by the longest path") {
  Configuration config;
  config.routes.emplace("/s/a", RouteSpec{"/s/a", "", "", "", "p1"});
  config.routes.emplace("/s/a/b", RouteSpec{"/s/a/b", "", "", "", "p2"});
  REQUIRE(config.FindServiceRoute("/s/a/b/c")->pool == "p2");
  REQUIRE(config.FindServiceRoute("/s/a/x")->pool == "p1");
  REQUIRE(config.FindServiceRoute("/s/ab") == nullptr);
  REQUIRE(config.FindServiceRoute("/s") == nullptr);
}

/// A publisher that counts versions over a set of keys.
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

TEST_CASE("config codec brings entities, changes and heads back") {
  const ParsedFiles parsed =
      ParseServiceFiles({ServiceFile{"a.toml", GoodFile()}});
  Configuration read;
  for (const Entity& entity : EncodeEntities(parsed.config)) {
    REQUIRE(ApplyEntity(read, entity));
  }
  REQUIRE(read.teams == parsed.config.teams);
  REQUIRE(read.pools == parsed.config.pools);
  REQUIRE(read.routes == parsed.config.routes);
  const ConfigChange change{3, "d", {TeamEntity(1, 2)}, {"team/x"}};
  REQUIRE(DecodeChange(EncodeChange(change)).value() == change);
  const ConfigHead head{3, "d", {"c1"}, {change}};
  REQUIRE(DecodeHead(EncodeHead(head)).value() == head);
  REQUIRE_FALSE(DecodeHead("{}"));
  REQUIRE_FALSE(DecodeHead("["));
}

TEST_CASE(
    "config follower refuses what is older, out of order or has another "
    "digest") {
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
  REQUIRE(follower.Judge(3, "other") == OfferOutcome::kConflict);
  REQUIRE(follower.Judge(2, "any") == OfferOutcome::kOlder);
}

TEST_CASE(
    "config followers that exchange changes never go back and end at the "
    "newest") {
  REQUIRE(rc::check("versions grow and digests fit", [] {
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
        case 2:  // From the platform, perhaps stale.
          if (!published.empty()) {
            const std::size_t upto = step % published.size();
            static_cast<void>(target.ApplyChanges(
                {published.begin(),
                 published.begin() + static_cast<std::ptrdiff_t>(upto) + 1}));
          }
          break;
        case 3: {  // From a peer.
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
        default:  // A restart forgets everything, and asks a peer before it
                  // serves.
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
