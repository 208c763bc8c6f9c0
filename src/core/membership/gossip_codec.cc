#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "limpethaven/crypto.h"
#include "limpethaven/membership.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// Bytes of the HMAC-SHA-256 that are sent as the authentication tag.
constexpr std::size_t kTagBytes = 16;
/// Elements of the CBOR array of a message without evidence, leaving
/// endpoints and load report, which follow in this order. Later versions may
/// append others.
constexpr std::size_t kMessageFieldCount = 13;
constexpr std::size_t kEvidenceIndex = kMessageFieldCount;
constexpr std::size_t kLeavingIndex = kMessageFieldCount + 1;
constexpr std::size_t kLoadIndex = kMessageFieldCount + 2;
/// Place of the era in the array of versions, which earlier versions leave out.
constexpr std::size_t kEraIndex = 3;
/// Place of the number of known processes in the array of versions.
constexpr std::size_t kKnownProcessesIndex = 4;
/// Place of whether the sender knows the fleet in the array of versions.
constexpr std::size_t kKnowsFleetIndex = 5;
/// Elements of the CBOR array of a leaving endpoint.
constexpr std::size_t kLeavingFieldCount = 2;
/// Elements of the CBOR array of an update.
constexpr std::size_t kUpdateFieldCount = 7;
/// Elements of the CBOR array of the evidence against a part of prompts.
constexpr std::size_t kEvidenceFieldCount = 4;
/// Elements of the CBOR array of a load report: sequence, window, loads. Later
/// versions may append others.
constexpr std::size_t kLoadFieldCount = 3;
/// Numbers of one endpoint in the flat array of loads.
constexpr std::size_t kNumbersPerLoad = 4;
/// Stands for the age of a complete answer where there was none.
constexpr DurationMs kNeverServed = -1;

json ToJson(const MemberUpdate& update) {
  return json::array({update.address, update.data_centre, update.incarnation,
                      update.refutation, static_cast<int>(update.state),
                      update.serving, update.cpu_millicores});
}

/// Reads an enumerator; throws when the number is not in 0 to
/// `last_value`.
template <typename EnumType>
EnumType EnumFrom(const json& in, EnumType last_value) {
  const int value = in.get<int>();
  if (value < 0 || value > static_cast<int>(last_value)) {
    throw std::out_of_range("enum");
  }
  return static_cast<EnumType>(value);
}

MemberUpdate UpdateFrom(const json& in) {
  if (in.size() != kUpdateFieldCount) throw std::out_of_range("update");
  return MemberUpdate{in.at(0).get<std::string>(),
                      in.at(1).get<std::string>(),
                      in.at(2).get<std::uint64_t>(),
                      in.at(3).get<std::uint64_t>(),
                      EnumFrom(in.at(4), MemberState::kLeaving),
                      in.at(5).get<bool>(),
                      in.at(6).get<std::int64_t>()};
}

/// The crashes are one flat array of pairs of an engine and an age.
json ToJson(const PartEvidence& evidence) {
  json crashes = json::array();
  std::ranges::for_each(evidence.crashes, [&crashes](const EngineCrash& crash) {
    crashes.push_back(crash.engine);
    crashes.push_back(crash.age_ms);
  });
  return json::array({evidence.part, evidence.depth,
                      evidence.served_age_ms.value_or(kNeverServed), crashes});
}

PartEvidence EvidenceFrom(const json& in) {
  if (in.size() != kEvidenceFieldCount) throw std::out_of_range("evidence");
  PartEvidence evidence;
  evidence.part = in.at(0).get<std::string>();
  evidence.depth = in.at(1).get<std::int64_t>();
  const auto served_age_ms = in.at(2).get<DurationMs>();
  if (served_age_ms >= 0) evidence.served_age_ms = served_age_ms;
  const json& crashes = in.at(3);
  if (crashes.size() % 2 != 0) throw std::out_of_range("crashes");
  for (std::size_t index = 0; index < crashes.size(); index += 2) {
    evidence.crashes.push_back(
        EngineCrash{crashes.at(index).get<std::uint32_t>(),
                    crashes.at(index + 1).get<DurationMs>()});
  }
  return evidence;
}

LeavingEndpoint LeavingFrom(const json& in) {
  if (in.size() != kLeavingFieldCount) throw std::out_of_range("leaving");
  return LeavingEndpoint{in.at(0).get<std::string>(),
                         in.at(1).get<std::int64_t>()};
}

/// Four numbers of at most five bytes for each endpoint: a report of the
/// largest size has less than 400 bytes.
json ToJson(const LoadReport& report) {
  json loads = json::array();
  const std::size_t count =
      std::min(report.loads.size(), LoadReport::kMaxEndpoints);
  std::ranges::for_each(
      report.loads.begin(),
      report.loads.begin() + static_cast<std::ptrdiff_t>(count),
      [&loads](const EndpointLoad& load) {
        loads.push_back(load.endpoint);
        loads.push_back(load.calls);
        loads.push_back(load.busy_ms);
        loads.push_back(load.failures);
      });
  return json::array({report.sequence, report.window_ms, loads});
}

/// Reads a number; throws when it is not in 0 to `max`.
/// More processes than a fleet can have; a larger number is malformed.
constexpr std::int64_t kMaxKnownProcesses = 1'000'000;

std::int64_t NumberFrom(const json& in, std::int64_t max) {
  const auto value = in.get<std::int64_t>();
  if (!in.is_number_integer() || value < 0 || value > max) {
    throw std::out_of_range("number");
  }
  return value;
}

LoadReport LoadFrom(const json& in) {
  if (in.size() < kLoadFieldCount) throw std::out_of_range("load report");
  LoadReport report;
  report.sequence = in.at(0).get<std::uint64_t>();
  report.window_ms = NumberFrom(in.at(1), LoadReport::kMaxValue);
  const json& loads = in.at(2);
  if (!loads.is_array() || loads.size() % kNumbersPerLoad != 0 ||
      loads.size() > LoadReport::kMaxEndpoints * kNumbersPerLoad) {
    throw std::out_of_range("loads");
  }
  for (std::size_t index = 0; index < loads.size(); index += kNumbersPerLoad) {
    report.loads.push_back(EndpointLoad{
        static_cast<std::uint32_t>(NumberFrom(
            loads.at(index), std::numeric_limits<std::uint32_t>::max())),
        NumberFrom(loads.at(index + 1), LoadReport::kMaxValue),
        NumberFrom(loads.at(index + 2), LoadReport::kMaxValue),
        NumberFrom(loads.at(index + 3), LoadReport::kMaxValue)});
  }
  return report;
}

GossipMessage MessageFrom(const json& in) {
  if (in.size() < kMessageFieldCount) throw std::out_of_range("message");
  GossipMessage message;
  message.kind = EnumFrom(in.at(0), GossipKind::kRelayedPing);
  message.from =
      VmId{in.at(1).get<std::string>(), in.at(2).get<std::uint64_t>()};
  message.from_data_centre = in.at(3).get<std::string>();
  message.from_refutation = in.at(4).get<std::uint64_t>();
  message.from_leaving = in.at(5).get<bool>();
  message.to_incarnation = in.at(6).get<std::uint64_t>();
  message.sequence = in.at(7).get<std::uint64_t>();
  message.target = in.at(8).get<std::string>();
  message.config_version = in.at(9).at(0).get<std::uint64_t>();
  message.config_digest = in.at(9).at(1).get<std::string>();
  const json& versions = in.at(9);
  message.endpoints_revision.number = versions.at(2).get<std::uint64_t>();
  if (versions.size() > kEraIndex) {
    message.endpoints_revision.era =
        versions.at(kEraIndex).get<std::uint64_t>();
  }
  if (versions.size() > kKnownProcessesIndex) {
    message.known_processes = static_cast<std::size_t>(
        NumberFrom(versions.at(kKnownProcessesIndex), kMaxKnownProcesses));
  }
  if (versions.size() > kKnowsFleetIndex) {
    message.knows_fleet = versions.at(kKnowsFleetIndex).get<bool>();
  }
  message.from_serving = in.at(11).get<bool>();
  message.from_cpu_millicores = in.at(12).get<std::int64_t>();
  std::ranges::transform(in.at(10), std::back_inserter(message.updates),
                         UpdateFrom);
  if (in.size() > kEvidenceIndex) {
    std::ranges::transform(in.at(kEvidenceIndex),
                           std::back_inserter(message.evidence), EvidenceFrom);
  }
  if (in.size() > kLeavingIndex) {
    std::ranges::transform(in.at(kLeavingIndex),
                           std::back_inserter(message.leaving_endpoints),
                           LeavingFrom);
  }
  if (in.size() > kLoadIndex) message.load = LoadFrom(in.at(kLoadIndex));
  return message;
}

}  // namespace

std::string EncodeGossip(std::string_view secret,
                         const GossipMessage& message) {
  json updates = json::array();
  std::ranges::transform(
      message.updates, std::back_inserter(updates),
      [](const MemberUpdate& update) { return ToJson(update); });
  json fields =
      json::array({static_cast<int>(message.kind), message.from.address,
                   message.from.incarnation, message.from_data_centre,
                   message.from_refutation, message.from_leaving,
                   message.to_incarnation, message.sequence, message.target,
                   json::array({message.config_version, message.config_digest,
                                message.endpoints_revision.number,
                                message.endpoints_revision.era,
                                message.known_processes, message.knows_fleet}),
                   updates, message.from_serving, message.from_cpu_millicores});
  // Left out when empty, so that processes of an earlier version can read the
  // message.
  const bool has_leaving = !message.leaving_endpoints.empty();
  const bool has_load = message.load.sequence != 0;
  if (!message.evidence.empty() || has_leaving || has_load) {
    json evidence = json::array();
    std::ranges::transform(message.evidence, std::back_inserter(evidence),
                           [](const PartEvidence& row) { return ToJson(row); });
    fields.push_back(std::move(evidence));
  }
  if (has_leaving || has_load) {
    json leaving = json::array();
    std::ranges::transform(message.leaving_endpoints,
                           std::back_inserter(leaving),
                           [](const LeavingEndpoint& row) {
                             return json::array({row.id, row.born});
                           });
    fields.push_back(std::move(leaving));
  }
  if (has_load) fields.push_back(ToJson(message.load));
  const std::vector<std::uint8_t> cbor = json::to_cbor(fields);
  const std::string body(cbor.begin(), cbor.end());
  return HmacSha256(secret, body).substr(0, kTagBytes) + body;
}

Result<GossipMessage> DecodeGossip(std::string_view secret,
                                   std::string_view bytes) {
  const Error malformed =
      Error::Of(ErrorKind::kPeerRejected,
                "gossip message malformed: too short for an authentication tag "
                "and a body, or not the expected array of CBOR fields");
  if (bytes.size() <= kTagBytes) return malformed;
  const std::string_view body = bytes.substr(kTagBytes);
  const std::string expected = HmacSha256(secret, body).substr(0, kTagBytes);
  if (!ConstantTimeEqual(expected, bytes.substr(0, kTagBytes))) {
    return Error::Of(
        ErrorKind::kPeerRejected,
        "gossip message has an authentication tag that does not match "
        "the fleet secret of this process");
  }
  try {
    return MessageFrom(json::from_cbor(body.begin(), body.end()));
  } catch (const std::exception&) {
    return malformed;
  }
}

}  // namespace limpethaven
