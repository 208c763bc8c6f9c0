/// @file
/// Rank of the source's list and of what peers announce in the endpoint table.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "limpethaven/endpoint_table.h"

namespace limpethaven {
namespace {

using Origin = EndpointTable::Origin;

constexpr DurationMs kRetentionMs = 2000;

EndpointRecord EndpointOf(const std::string& id) {
  EndpointRecord endpoint;
  endpoint.id = id;
  endpoint.address = "127.0.0.1:1";
  endpoint.pool = "p";
  return endpoint;
}

/// Applies what a peer's table has after the revision of `table`, as a pull
/// does.
void Pull(EndpointTable& table, const EndpointTable& peer, TimeMs now) {
  const EndpointTable::Changes changes = peer.ChangesAfter(table.Revision());
  std::ranges::for_each(changes.announced, [&](const auto& row) {
    table.Put(row.first, row.second, now, Origin::kPeer);
  });
  std::ranges::for_each(changes.gone, [&](const auto& row) {
    table.Remove(row.first, row.second);
  });
  if (changes.whole) {
    table.RemoveOthers(changes.announced, peer.Revision(), now, now);
  }
  table.AdvanceTo(peer.Revision(), now);
}

// review/12: the removal was cancelled, and had a revision that the process had
// already passed when its peer removed the endpoint.
TEST_CASE("a peer's older announcement keeps a missing endpoint for good") {
  EndpointTable behind;
  EndpointTable ahead;
  behind.Replace({EndpointOf("e1"), EndpointOf("e2")}, {0, 3}, 0, 0);
  ahead.Replace({EndpointOf("e1"), EndpointOf("e2")}, {0, 4}, 0, 0);
  for (EndpointTable* table : {&behind, &ahead}) {
    table->Replace({EndpointOf("e2")}, {0, 5}, 100 + kRetentionMs, 100);
  }
  Pull(behind, ahead, 150);
  CHECK(behind.Retaining());
  CHECK(behind.Expire(100 + kRetentionMs) == std::vector<std::string>{"e1"});
  CHECK(behind.Find("e1") == nullptr);
  CHECK(behind.Find("e2") != nullptr);
}

// The answer to a pull may arrive after a list that does not have the endpoint.
TEST_CASE("a peer's older announcement adds an endpoint that the list lacks") {
  EndpointTable started;
  started.Replace({EndpointOf("e2")}, {0, 5}, 0, 0);
  CHECK_FALSE(started.Put(EndpointOf("e1"), {0, 4}, 10, Origin::kPeer));
  CHECK(started.Find("e1") == nullptr);
  CHECK(started.Put(EndpointOf("e1"), {0, 6}, 20, Origin::kPeer));
  CHECK(started.Find("e1") != nullptr);
}

/// A source with three endpoints, and processes whose watches are cut at random
/// and that pull from each other.
class Followers {
 public:
  explicit Followers(std::uint64_t seed) : random(seed) {
    for (Follower& follower : this->followers) this->List(follower, false);
  }

  void Step() {
    this->now += this->Random(400);
    Follower& follower = this->followers[this->Random(this->followers.size())];
    switch (this->Random(7)) {
      case 0:
        this->ChangeSource();
        return;
      case 1:
        follower.watch_cut = true;
        return;
      case 2:
        if (follower.watch_cut) this->List(follower, true);
        return;
      case 3:
        follower.table.Expire(this->now);
        return;
      case 4:
        if (this->Random(4) == 0) this->Restart(follower);
        return;
      default:
        this->Exchange(follower);
    }
  }

  /// Ends all disruptions. One process reads the source again, and the others
  /// follow their peers.
  void Settle() {
    this->List(this->followers.front(), true);
    for (int round = 0; round < 20; ++round) {
      this->now += kRetentionMs / 4;
      std::ranges::for_each(this->followers, [this](Follower& follower) {
        follower.table.Expire(this->now);
        this->Exchange(follower);
      });
    }
  }

  [[nodiscard]] bool AllMatchSource() const {
    return std::ranges::all_of(this->followers, [this](const auto& follower) {
      return follower.table.All() == this->Listed();
    });
  }

 private:
  struct Follower {
    EndpointTable table = EndpointTable();
    bool watch_cut = false;
  };

  std::size_t Random(std::size_t choices) { return this->random() % choices; }

  [[nodiscard]] std::vector<EndpointRecord> Listed() const {
    std::vector<EndpointRecord> listed;
    for (std::size_t index = 0; index < this->present.size(); ++index) {
      if (this->present[index]) {
        listed.push_back(EndpointOf("e" + std::to_string(index)));
      }
    }
    return listed;
  }

  void List(Follower& follower, bool returned) {
    follower.watch_cut = false;
    follower.table.Replace(this->Listed(), {0, this->revision},
                           returned ? this->now + kRetentionMs : 0, this->now);
  }

  /// Starts a process that reads the source first, or a peer.
  void Restart(Follower& follower) {
    follower = Follower{};
    if (this->Random(2) == 0) {
      this->List(follower, false);
    } else {
      follower.watch_cut = true;
      this->Exchange(follower);
    }
  }

  void ChangeSource() {
    const std::size_t index = this->Random(this->present.size());
    this->present[index] = !this->present[index];
    ++this->revision;
    const SourceRevision changed{0, this->revision};
    const EndpointRecord endpoint = EndpointOf("e" + std::to_string(index));
    std::ranges::for_each(this->followers, [&](Follower& follower) {
      if (follower.watch_cut) return;
      follower.table.AdvanceTo(changed, this->now);
      if (this->present[index]) {
        follower.table.Put(endpoint, changed, this->now, Origin::kChange);
      } else {
        follower.table.Remove(endpoint.id, changed);
      }
    });
  }

  void Exchange(Follower& follower) {
    const Follower& peer =
        this->followers[this->Random(this->followers.size())];
    if (&peer != &follower) Pull(follower.table, peer.table, this->now);
  }

  std::mt19937_64 random;
  TimeMs now = 1000;
  std::uint64_t revision = 1;
  std::array<bool, 3> present{true, true, true};
  std::array<Follower, 4> followers;
};

// The peer has started after the removal and knows nothing of the endpoint.
TEST_CASE("an endpoint stays in a table that follows a restarted peer") {
  EndpointTable behind;
  behind.Replace({EndpointOf("e1"), EndpointOf("e2")}, {0, 3}, 0, 0);
  EndpointTable restarted;
  restarted.Replace({EndpointOf("e2")}, {0, 5}, 0, 0);
  Pull(behind, restarted, 10);
  CHECK(behind.Find("e1") == nullptr);
  CHECK(behind.Find("e2") != nullptr);
  CHECK_FALSE(restarted.ChangesAfter({0, 5}).whole);
}

TEST_CASE("an endpoint that has left stays in a table after cut watches") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Followers followers(seed);
    for (int step = 0; step < 120; ++step) followers.Step();
    followers.Settle();
    CAPTURE(seed);
    REQUIRE(followers.AllMatchSource());
  }
}

}  // namespace
}  // namespace limpethaven
