/// @file
/// Tests of where the rules of scarce slots are in force.
#include <catch2/catch.hpp>
#include <string>

#include "limpethaven/cells.h"
#include "platform/store_items.h"

namespace limpethaven {
namespace {

/// Cells of a pool whose engines run `slots` requests each.
std::vector<CellSpec> CellsWith(const std::string& slots) {
  const auto config = platform::ReadConfiguration(
      R"({"version": 1, "routes": [], "tenants": [], "services": [
        {"name": "scribe", "engine": {"slots": )" +
      slots + R"(, "kv_tokens": 9000}}]})");
  REQUIRE(config);
  EndpointRecord engine;
  engine.id = "e1";
  engine.pool = "scribe";
  engine.data_centre = "east";
  engine.role = PoolRole::kMixed;
  return BuildCells(config.value(), {engine}, 64);
}

// Guards against the order rule on the platform, where urgent requests with a
// short target lost by it.
TEST_CASE("the platform keeps the present order, also where slots are few") {
  REQUIRE_FALSE(CellsWith("12").at(0).on_time_first);
  REQUIRE_FALSE(CellsWith("16").at(0).on_time_first);
  REQUIRE_FALSE(CellsWith("17").at(0).on_time_first);
  REQUIRE_FALSE(CellsWith("0").at(0).on_time_first);
  REQUIRE_FALSE(CellsWith("\"many\"").at(0).on_time_first);
}

}  // namespace
}  // namespace limpethaven
