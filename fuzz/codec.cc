/// @file
/// Fuzzes the decoders of published configuration values and of error response
/// bodies.
#include <cstdint>
#include <string>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_follower.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  static_cast<void>(limpethaven::DecodeHead(text));
  static_cast<void>(limpethaven::DecodeChange(text));
  static_cast<void>(limpethaven::ErrorFromJsonBody(text));
  const auto entities = limpethaven::DecodeEntityList(text);
  if (!entities) return 0;
  limpethaven::EntityTable table;
  table.Apply(entities.value(), {});
  limpethaven::ConfigFollower follower;
  static_cast<void>(
      follower.ApplySnapshot(1, table.Digest(), entities.value()));
  return 0;
}
