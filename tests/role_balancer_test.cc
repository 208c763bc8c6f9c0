/// @file
/// Tests of role orders with real entry nodes: an engine that carries an order
/// out, an owner that dies after sending, engines that never answer, and a
/// silent source.
#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "limpethaven/order_lease.h"
#include "net/http_message.h"
#include "platform_fleet.h"

namespace limpethaven::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kOrderPath = "/limpethaven/order";
constexpr DurationMs kRoleChangeMs = 1500;
constexpr DurationMs kBurstPeriodMs = 300;
constexpr std::size_t kBurst = 16;
/// Events of an answer: the demand follows from the outputs that were seen.
constexpr int kEvents = 30;

/// An order that an engine received.
struct SeenOrder {
  std::size_t engine = 0;
  TimeMs at = 0;
  std::string holder;
  std::uint64_t fence = 0;
  std::string stage;
};

std::string StatusAnswer(int status) {
  ResponseHead head{status, {}};
  return WriteResponse(head, "{}");
}

/// Answers prefills and generations; orders get `order_answer`.
ScriptedEngine::Answer EngineScript(const std::string& order_answer) {
  return [order_answer](const RequestHead& call) {
    if (call.target == kOrderPath) return EngineAnswer{order_answer};
    if (call.headers.Get("X-Stage") == "prefill") {
      return EngineAnswer{PrefillAnswer(call)};
    }
    return EngineAnswer{WholeStream(call, kEvents)};
  };
}

/// More prefill engines than the demand needs: slots are few, and a generation
/// is expected to occupy one for much longer than its prefill lasts, also where
/// sanitizers make a prefill take 11 ms.
PlatformFleetSettings FleetSettings() {
  PlatformFleetSettings settings;
  settings.engines = 8;
  settings.prefill_engines = 8;
  settings.slots = 2;
  settings.output_tokens = 300;
  settings.role_change_ms = kRoleChangeMs;
  return settings;
}

/// Orders that the engines received, in the order of their arrival.
std::vector<SeenOrder> OrdersOf(const PlatformFleet& fleet) {
  std::vector<SeenOrder> orders;
  for (std::size_t engine = 0; engine < fleet.engines.size(); ++engine) {
    const ScriptedEngine& seen = *fleet.engines[engine];
    for (std::size_t call = 0; call < seen.calls.size(); ++call) {
      if (seen.calls[call].target != kOrderPath) continue;
      const json body = json::parse(seen.bodies[call]);
      orders.push_back(SeenOrder{engine, seen.call_times[call],
                                 body.at("holder"), body.at("fence"),
                                 body.at("stage")});
    }
  }
  std::ranges::sort(orders, {}, &SeenOrder::at);
  return orders;
}

/// Sends bursts of generations, so that all engines get some, until the
/// condition holds. @returns false when it does not within `limit_ms`.
bool LoadUntil(PlatformFleet& fleet, const std::function<bool()>& condition,
               DurationMs limit_ms) {
  const TimeMs deadline = LoopNow() + limit_ms;
  while (!condition()) {
    if (LoopNow() >= deadline) return false;
    for (std::size_t index = 0; index < kBurst; ++index) {
      const std::size_t entry = index % fleet.entries.size();
      if (fleet.entries[entry] != nullptr) fleet.Start(entry, "part:100");
    }
    static_cast<void>(fleet.RunUntil(condition, kBurstPeriodMs));
  }
  return true;
}

/// Calls other than orders that an engine received since a time.
std::size_t WorkSince(const ScriptedEngine& engine, TimeMs since,
                      bool prefills) {
  std::size_t count = 0;
  for (std::size_t call = 0; call < engine.calls.size(); ++call) {
    const RequestHead& head = engine.calls[call];
    const bool is_prefill = head.headers.Get("X-Stage") == "prefill";
    const bool counts = engine.call_times[call] >= since &&
                        head.target != kOrderPath && is_prefill == prefills;
    if (counts) ++count;
  }
  return count;
}

}  // namespace

TEST_CASE(
    "an engine is ordered to change its role and serves it when announced",
    "[fleet]") {
  PlatformFleet fleet(FleetSettings(), EngineScript(StatusAnswer(202)));
  fleet.PublishChange();
  const TimeMs started_at = LoopNow();
  REQUIRE(LoadUntil(
      fleet, [&] { return !OrdersOf(fleet).empty(); }, 25'000));
  const SeenOrder order = OrdersOf(fleet).front();
  const OrderLeaseSettings lease;
  CHECK(order.at - started_at >= lease.lease_ms + lease.margin_ms);
  CHECK(order.stage == "decode");
  CHECK(order.fence > 0);
  CHECK(order.fence < (1ULL << 53));
  CHECK(fleet.EntryAt(order.holder) < fleet.entries.size());
  ScriptedEngine& engine = *fleet.engines[order.engine];
  const auto call =
      std::ranges::find(engine.calls, kOrderPath, &RequestHead::target);
  CHECK(call->headers.Get("X-Expect-Instance") ==
        "engine-" + std::to_string(order.engine + 1));
  // Prompts that were placed before may still arrive for a moment.
  fleet.RunFor(100);
  const TimeMs changing_since = LoopNow();
  CHECK_FALSE(LoadUntil(
      fleet, [] { return false; }, kRoleChangeMs - 300));
  CHECK(WorkSince(engine, changing_since, true) == 0);
  CHECK(WorkSince(engine, changing_since, false) == 0);
  fleet.AnnounceRole(order.engine, PoolRole::kDecode);
  CHECK(LoadUntil(
      fleet, [&] { return WorkSince(engine, changing_since, false) > 0; },
      5000));
  CHECK(WorkSince(engine, changing_since, true) == 0);
  // One process gives the orders, to three engines at most at once.
  const std::vector<SeenOrder> orders = OrdersOf(fleet);
  CHECK(orders.size() <= 4);
  std::uint64_t last_fence = 0;
  std::ranges::for_each(orders, [&](const SeenOrder& seen) {
    CHECK(seen.holder == order.holder);
    CHECK(seen.fence > last_fence);
    last_fence = seen.fence;
  });
  CHECK(std::ranges::all_of(fleet.responses, [](const HttpResponse& response) {
    return response.head.status == 200;
  }));
}

TEST_CASE("the successor of an owner that dies after an order waits",
          "[fleet]") {
  // Without the wait, two holders could order one engine within the lease, or
  // the successor could repeat the term that only the dead owner knew.
  PlatformFleet fleet(FleetSettings(), EngineScript(StatusAnswer(202)));
  fleet.PublishChange();
  REQUIRE(LoadUntil(
      fleet, [&] { return !OrdersOf(fleet).empty(); }, 25'000));
  const std::string dead = OrdersOf(fleet).front().holder;
  fleet.KillEntry(fleet.EntryAt(dead));
  const auto of_successor = [&dead](const SeenOrder& order) {
    return order.holder != dead;
  };
  REQUIRE(LoadUntil(
      fleet, [&] { return std::ranges::any_of(OrdersOf(fleet), of_successor); },
      30'000));
  const std::vector<SeenOrder> orders = OrdersOf(fleet);
  const auto next = std::ranges::find_if(orders, of_successor);
  REQUIRE(next != orders.begin());
  const SeenOrder& last = *std::prev(next);
  CHECK(next->at - last.at > OrderLeaseSettings{}.lease_ms);
  CHECK(next->fence > last.fence);
  constexpr unsigned kTermShift =
      OrderToken::kCounterBits + OrderToken::kHolderBits;
  CHECK(next->fence >> kTermShift > last.fence >> kTermShift);
}

TEST_CASE("tokens rise after all processes were killed at once", "[fleet]") {
  // The term of the last order was in the memory of the processes alone, so
  // that the first order after their start had a lower token.
  PlatformFleet fleet(FleetSettings(), EngineScript(StatusAnswer(202)));
  fleet.PublishChange();
  REQUIRE(LoadUntil(
      fleet, [&] { return OrdersOf(fleet).size() >= 2; }, 25'000));
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    fleet.KillEntry(entry);
  }
  const std::size_t before = OrdersOf(fleet).size();
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    fleet.StartEntry(entry);
  }
  const auto ordered_again = [&] { return OrdersOf(fleet).size() > before; };
  // The revision may be that of the last order.
  CHECK_FALSE(LoadUntil(fleet, ordered_again, 8000));
  fleet.PublishChange();
  REQUIRE(LoadUntil(fleet, ordered_again, 25'000));
  const std::vector<SeenOrder> orders = OrdersOf(fleet);
  CHECK(orders[before].fence > orders[before - 1].fence);
}

TEST_CASE("engines that never answer an order keep their role", "[fleet]") {
  PlatformFleet fleet(FleetSettings(), EngineScript(""));
  fleet.PublishChange();
  REQUIRE(LoadUntil(
      fleet, [&] { return !OrdersOf(fleet).empty(); }, 25'000));
  const SeenOrder order = OrdersOf(fleet).front();
  ScriptedEngine& engine = *fleet.engines[order.engine];
  CHECK(LoadUntil(
      fleet, [&] { return WorkSince(engine, order.at + 1, true) > 0; }, 5000));
  CHECK_FALSE(LoadUntil(
      fleet, [] { return false; }, 6000));
  // Each engine is ordered once; an order is not repeated for 30 s.
  std::vector<std::size_t> ordered;
  std::ranges::transform(OrdersOf(fleet), std::back_inserter(ordered),
                         &SeenOrder::engine);
  std::ranges::sort(ordered);
  CHECK(std::ranges::adjacent_find(ordered) == ordered.end());
  CHECK(fleet.entries[fleet.EntryAt(order.holder)]->MetricsText().find(
            "limpethaven_role_orders_total{outcome=\"unknown\"}") !=
        std::string::npos);
}

TEST_CASE("no order is sent while the source is silent", "[fleet]") {
  // The announced roles may be outdated then.
  PlatformFleet fleet(FleetSettings(), EngineScript(StatusAnswer(202)));
  fleet.PublishChange();
  fleet.SilenceSource(true);
  CHECK_FALSE(LoadUntil(
      fleet, [&] { return !OrdersOf(fleet).empty(); }, 10'000));
  fleet.SilenceSource(false);
  CHECK(LoadUntil(
      fleet, [&] { return !OrdersOf(fleet).empty(); }, 10'000));
}

}  // namespace limpethaven::testing
