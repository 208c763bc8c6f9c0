/// @file
/// Settings of `limpethaven-entry`, from flags and environment variables.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"
#include "node/entry_node.h"

namespace limpethaven {

/// Settings of an entry process. The help texts of the flags describe them.
struct EntrySettings {
  std::string address;
  int port = 8080;
  int peer_port = 8081;
  std::string admin_address = "127.0.0.1";
  int admin_port = 8082;
  std::string data_centre;
  std::string platform;  ///< `IP:port` of the platform.
  /// Addresses of VMs through which the process finds its peers when the
  /// platform is unreachable.
  std::vector<std::string> seed_vms;
  std::string fleet_secret_file;
  /// Read from the environment or from the file; never given as a flag.
  std::string fleet_secret;
  std::string tls_certificate;
  std::string tls_key;
  DurationMs address_ttl_ms = 5000;
  DurationMs token_wait_ms = 250;
  DurationMs drain_limit_ms = 120'000;
  std::size_t max_streams = 1000;
  std::size_t cell_size = 64;
  bool check = false;
};

/// Adds all flags to a command line.
void AddEntryFlags(CLI::App& app, EntrySettings& settings);
/// Validates combinations of flags and the format of addresses, and reads the
/// fleet secret. Fails with `kBadRequest` when a flag is invalid.
[[nodiscard]] Result<EntrySettings> FinishEntrySettings(EntrySettings settings);
/// Converts the settings of an entry process into those of its node.
[[nodiscard]] NodeSettings NodeSettingsOf(const EntrySettings& settings);

}  // namespace limpethaven
