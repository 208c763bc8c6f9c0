/// @file
/// Fuzzes gossip: the codec with the raw input, and codec and membership with
/// the input behind a valid authentication tag. The
/// load report of a message is taken by its readers.
#include <cstdint>
#include <string>

#include "limpethaven/crypto.h"
#include "limpethaven/endpoint_balancer.h"
#include "limpethaven/failure_evidence.h"
#include "limpethaven/membership.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  constexpr const char* kSecret = "a-secret-for-fuzzing";
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  static_cast<void>(limpethaven::DecodeGossip(kSecret, bytes));
  const std::string tagged =
      limpethaven::HmacSha256(kSecret, bytes).substr(0, 16) + bytes;
  const auto message = limpethaven::DecodeGossip(kSecret, tagged);
  if (!message) return 0;
  limpethaven::Membership membership(limpethaven::VmId{"10.0.0.1", 1}, "zone",
                                     {}, 1);
  static_cast<void>(membership.Receive(message.value(), 0));
  static_cast<void>(membership.Tick(0));
  limpethaven::EndpointBalancer balancer("zone", 1);
  limpethaven::FailureEvidence evidence;
  balancer.OnReport(message.value().from, "zone", message.value().load, 0);
  static_cast<void>(
      evidence.OnReport(message.value().from.address, message.value().load, 0));
  balancer.Update("pool", {{"endpoint", "zone", 1}}, message.value().load, 0);
  return 0;
}
