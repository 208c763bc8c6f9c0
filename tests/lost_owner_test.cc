/// @file
/// Requests that wait at the owner of a cell when that process is lost. Guards
/// against a wait that starts anew at the next owner, so that the caller gets
/// no answer at its time limit.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "net/tasks.h"
#include "peer/cell_call.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"

namespace limpethaven {
namespace {

constexpr int kPort = 18'195;
constexpr DurationMs kPatienceMs = 1500;
/// Time after which the first owner is lost.
constexpr DurationMs kHeldMs = 1000;
constexpr DurationMs kKeepAliveMs = 100;
/// Longer than a lost owner is skipped.
constexpr DurationMs kHoldDownMs = 1100;
/// A caller has an answer this long after its time limit at the latest.
constexpr DurationMs kLateMs = 500;

class IgnoringListener final : public GossipListener {
 public:
  void OnPeerVersions(const std::string&, std::uint64_t,
                      const SourceRevision&) override {}
  void OnMemberChange(const MemberChange&) override {}
  void OnPause() override {}
};

PeerIdentity IdentityOf(const std::string& address) {
  PeerIdentity identity;
  identity.self = VmId{address, 1};
  identity.data_centre = "a";
  identity.cpu_millicores = 1000;
  identity.port = kPort;
  return identity;
}

/// Gossip and peer calls of one process.
struct Process {
  Process(Loop& loop, const std::string& address, const std::string& seed)
      : gossip(loop, IdentityOf(address), MembershipSettings{}, listener),
        link(loop, IdentityOf(address)) {
    REQUIRE(this->link.Start());
    REQUIRE(this->gossip.Start({seed}));
    this->gossip.SetServing(true);
  }
  ~Process() {
    this->link.Stop();
    this->gossip.Stop();
  }

  IgnoringListener listener;
  Gossip gossip;
  PeerLink link;
};

/// A cell with one engine that runs one request at a time, and that the process
/// at `owner` owns first.
CellSpec CellOwnedBy(const CellDirectory& directory, const std::string& owner) {
  CellSpec cell;
  cell.model = "m";
  cell.engines.push_back(
      CellEngine{"e", "a", PoolRole::kMixed, 10'000, 1, false});
  for (int number = 0;
       cell.name.empty() || directory.OwnersOf(cell).front() != owner;
       ++number) {
    cell.name = "m/" + std::to_string(number);
  }
  return cell;
}

PlacementRequest RequestOf(const std::string& id) {
  PlacementRequest request;
  request.request_id = id;
  request.prompt_tokens = 1000;
  request.max_tokens = 100;
  request.budget_ms = 300;
  request.patience_ms = kPatienceMs;
  return request;
}

}  // namespace

TEST_CASE("a request whose owner is lost is answered at its time limit") {
  Loop loop(1);
  Process process(loop, "127.91.0.1", "127.91.0.2");
  Process owner(loop, "127.91.0.2", "127.91.0.1");
  owner.link.HandleLong(
      std::string(kCellPlacePath),
      [&loop](PeerCall& call) -> Task<Result<std::string>> {
        const bool held = call.body.find("held") != std::string::npos;
        const TimeMs until = LoopNow() + (held ? kHeldMs : 0);
        while (LoopNow() < until) {
          co_await call.SendKeepAlive();
          co_await SleepFor(loop, kKeepAliveMs);
        }
        co_return Error::Of(ErrorKind::kEndpointFailed, "lost");
      });
  CellSettings settings;
  settings.lease_ms = 10 * kPatienceMs;
  CellExchange cells(process.link, process.gossip, "a", settings);
  const auto run_until = [&loop](const auto& condition, DurationMs limit_ms) {
    const TimeMs until = LoopNow() + limit_ms;
    while (!condition() && LoopNow() < until) {
      loop.run_for(std::chrono::milliseconds(5));
      loop.restart();
    }
  };
  run_until(
      [&] { return process.gossip.Members().ServingMembers().size() == 2; },
      10'000);
  cells.Configure({CellOwnedBy(cells.Directory(), "127.91.0.2")});
  Cancellation cancel;
  std::optional<Result<CellPlacement>> placed;
  const auto place = [&](const std::string& id) {
    placed.reset();
    Spawn(loop, [&, id]() -> Task<> {
      placed = co_await cells.Place("m", RequestOf(id), cancel);
    });
    const TimeMs started_at = LoopNow();
    run_until(
        [&] {
          cells.Tick(LoopNow());
          return placed.has_value();
        },
        5 * kPatienceMs);
    return LoopNow() - started_at;
  };
  // Placed by this process, which the lost owner leaves as the next one.
  static_cast<void>(place("first"));
  REQUIRE(placed);
  REQUIRE(placed->has_value());
  run_until([] { return false; }, kHoldDownMs);
  const DurationMs took_ms = place("held");
  REQUIRE(placed);
  CHECK_FALSE(placed->has_value());
  CHECK(took_ms >= kHeldMs);
  CHECK(took_ms <= kPatienceMs + kLateMs);
  CloseAllConnections(loop);
  loop.poll();
}

TEST_CASE("a request that is handed on has the rest of its time") {
  PlacementRequest request;
  request.budget_ms = 900;
  request.patience_ms = 3000;
  const auto later = AfterWait(request, 2000);
  REQUIRE(later);
  CHECK(later->budget_ms == -1100);
  CHECK(later->patience_ms == 1000);
  CHECK_FALSE(AfterWait(request, 3000));
  // Where the target is later than the patience, it is waited for.
  request.patience_ms = 100;
  CHECK(AfterWait(request, 500)->patience_ms > 0);
  CHECK_FALSE(AfterWait(request, 900));
  // Without patience, the next owner decides by the target.
  request.patience_ms = 0;
  CHECK(AfterWait(request, 1000)->patience_ms == 0);
  CHECK(AfterWait(request, 1000)->budget_ms == -100);
}

}  // namespace limpethaven
