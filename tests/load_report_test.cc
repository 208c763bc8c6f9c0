/// @file
/// Reports of calls to plain endpoints: their measurement and their encoding in
/// gossip.
#include "limpethaven/load_report.h"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "limpethaven/crypto.h"
#include "limpethaven/membership.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr const char* kSecret = "s";
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kLoadIndex = 15;
constexpr std::size_t kMaxReportBytes = 400;

GossipMessage MessageWith(const LoadReport& report) {
  GossipMessage message;
  message.from = VmId{"10.0.0.1", 7};
  message.load = report;
  return message;
}

/// Decodes the message after a change of its CBOR fields.
Result<GossipMessage> DecodeChanged(const GossipMessage& message,
                                    const std::function<void(json&)>& change) {
  json fields =
      json::from_cbor(EncodeGossip(kSecret, message).substr(kTagBytes));
  change(fields);
  const std::vector<std::uint8_t> cbor = json::to_cbor(fields);
  const std::string body(cbor.begin(), cbor.end());
  return DecodeGossip(kSecret,
                      HmacSha256(kSecret, body).substr(0, kTagBytes) + body);
}

TEST_CASE("load meter reports calls, busy time and failures of its window") {
  LoadMeter meter;
  static_cast<void>(meter.Report(0));
  meter.OnStart("e", 1000);
  meter.OnStart("e", 1000);
  meter.OnEnd("e", 1060);
  meter.OnFailure("e", 1060);
  const LoadReport report = meter.Report(1100);
  CHECK(report.sequence == 2);
  CHECK(report.window_ms == 1100);
  REQUIRE(report.loads.size() == 1);
  CHECK(report.loads.front() == EndpointLoad{ReportKeyOf("e"), 2, 160, 1});
  // The other call is still in flight, the failure is still reported.
  const EndpointLoad later = meter.Report(4000).loads.at(0);
  CHECK(later.calls == 0);
  CHECK(later.busy_ms > LoadMeter::kWindowMs / 2);
  CHECK(later.failures == 1);
  meter.OnEnd("e", 4000);
  CHECK(meter.Report(60'000).loads.empty());
}

TEST_CASE("gossip carries a load report of bounded size") {
  LoadReport largest;
  largest.sequence = std::numeric_limits<std::uint64_t>::max();
  largest.window_ms = LoadMeter::kWindowMs;
  largest.loads.assign(
      LoadReport::kMaxEndpoints,
      EndpointLoad{std::numeric_limits<std::uint32_t>::max(),
                   LoadReport::kMaxValue, LoadReport::kMaxValue,
                   LoadReport::kMaxValue});
  const GossipMessage message = MessageWith(largest);
  const std::string bytes = EncodeGossip(kSecret, message);
  CHECK(DecodeGossip(kSecret, bytes).value() == message);
  CHECK(bytes.size() - EncodeGossip(kSecret, MessageWith({})).size() <=
        kMaxReportBytes);
  // A report of more endpoints is cut.
  largest.loads.resize(3 * LoadReport::kMaxEndpoints);
  CHECK(EncodeGossip(kSecret, MessageWith(largest)).size() == bytes.size());
}

// Guards against processes of different versions that refuse each other.
TEST_CASE("gossip without a load report, and with unknown fields, is read") {
  const GossipMessage message = MessageWith({3, 2000, {{7, 5, 300, 1}}});
  const auto newer = DecodeChanged(message, [](json& fields) {
    fields.at(kLoadIndex).push_back("later");
    fields.push_back("later");
  });
  CHECK(newer.value() == message);
  const auto older =
      DecodeChanged(message, [](json& fields) { fields.erase(kLoadIndex); });
  CHECK(older.value() == MessageWith({}));
}

TEST_CASE("gossip with a malformed load report is refused") {
  const GossipMessage message = MessageWith({3, 2000, {{7, 5, 300, 1}}});
  const json wrong =
      GENERATE(json::array({3, 2000}), json::array({3, -1, json::array()}),
               json::array({3, 2000, json::array({7, 5, 300})}),
               json::array({3, 2000, json::array({7, -5, 300, 1})}),
               json::array({3, 2000, json::array({7, 5, 1e30, 1})}),
               json::array({3, 2000, json::array({7, 5, "x", 1})}),
               json::array({3, 2000, json::array({1ULL << 40U, 5, 300, 1})}),
               json::array({3, 2000, std::vector<int>(68, 1)}),
               json::array({3, 2000, json{{"a", 1}}}), json("x"), json());
  const auto decoded = DecodeChanged(
      message, [&](json& fields) { fields.at(kLoadIndex) = wrong; });
  REQUIRE_FALSE(decoded);
  CHECK(decoded.error().kind == ErrorKind::kPeerRejected);
}

}  // namespace
}  // namespace limpethaven
