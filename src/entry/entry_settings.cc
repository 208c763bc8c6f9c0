#include "entry/entry_settings.h"

#include <arpa/inet.h>

#include "cli/flags.h"

namespace limpethaven {
namespace {

constexpr int kMaxPort = 65'535;
/// A process serves no request in this time after its start, so that peers can
/// first pass it a configuration that is newer than the platform's.
constexpr DurationMs kStartupHoldMs = 300;
/// Period in which an entry process fetches the load of an engine.
constexpr DurationMs kLoadReportPeriodMs = 500;

Error InvalidFlag(std::string message) {
  return Error::Of(ErrorKind::kBadRequest, std::move(message));
}

bool IsIpv4Address(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

}  // namespace

void AddEntryFlags(CLI::App& app, EntrySettings& settings) {
  AddFlag(app, "--address", settings.address,
          "IPv4 address that callers and peers connect to")
      ->required();
  AddRangedFlag(app, "--port", settings.port, 1, kMaxPort, "port",
                "Port for callers");
  AddRangedFlag(app, "--peer-port", settings.peer_port, 1, kMaxPort, "port",
                "Port for peers, TCP and UDP, the same on every VM");
  AddFlag(app, "--admin-address", settings.admin_address,
          "IP address of the admin server");
  AddRangedFlag(app, "--admin-port", settings.admin_port, 1, kMaxPort, "port",
                "Port of the admin server");
  AddFlag(app, "--data-centre", settings.data_centre, "Data centre of this VM")
      ->required();
  AddFlag(app, "--platform", settings.platform,
          "IP:port of the configuration service")
      ->required();
  AddFlag(app, "--seed-vms", settings.seed_vms,
          "IPv4 addresses of VMs through which peers are found when the "
          "platform is unreachable, comma separated")
      ->delimiter(',');
  AddFlag(app, "--fleet-secret-file", settings.fleet_secret_file,
          "File with the fleet secret; without it LIMPETHAVEN_FLEET_SECRET is "
          "read");
  AddFlag(app, "--tls-certificate", settings.tls_certificate,
          "PEM certificate chain for callers, reloaded when the file changes");
  AddFlag(app, "--tls-key", settings.tls_key,
          "PEM private key of the certificate");
  AddRangedFlag<DurationMs>(app, "--address-ttl-ms", settings.address_ttl_ms,
                            100, 600'000, "ms",
                            "Time for which callers may cache an answer of "
                            "/v1/addresses");
  AddRangedFlag<DurationMs>(
      app, "--token-wait-ms", settings.token_wait_ms, 0, 10'000, "ms",
      "Longest time that a request waits for its team's tokens before it is "
      "refused");
  AddRangedFlag<DurationMs>(app, "--drain-limit-ms", settings.drain_limit_ms, 0,
                            3'600'000, "ms",
                            "Longest time that a graceful stop waits for open "
                            "streams");
  AddRangedFlag<std::size_t>(app, "--max-streams", settings.max_streams, 1,
                             20'000, "streams", "Most requests served at once");
  AddRangedFlag<std::size_t>(app, "--cell-size", settings.cell_size, 2, 256,
                             "engines", "Most engines in one cell");
  app.add_flag("--check", settings.check, "Validate the settings and exit");
}

Result<EntrySettings> FinishEntrySettings(EntrySettings settings) {
  if (!IsIpv4Address(settings.address)) {
    return InvalidFlag("--address: '" + settings.address +
                       "', expected an IPv4 address");
  }
  if (settings.tls_certificate.empty() != settings.tls_key.empty()) {
    return InvalidFlag(
        "--tls-certificate and --tls-key: expected both or neither");
  }
  if (settings.port == settings.peer_port) {
    return InvalidFlag("--peer-port: " + std::to_string(settings.peer_port) +
                       ", expected a port that differs from --port");
  }
  BOOST_OUTCOME_TRY(secret, ReadFleetSecret(settings.fleet_secret_file));
  settings.fleet_secret = secret;
  return settings;
}

NodeSettings NodeSettingsOf(const EntrySettings& settings) {
  const auto at = [](const std::string& address, int port) {
    return address + ":" + std::to_string(port);
  };
  NodeSettings node;
  node.vm = settings.address;
  node.ip = settings.address;
  node.data_centre = settings.data_centre;
  node.callers_address = at(settings.address, settings.port);
  node.admin_address = at(settings.admin_address, settings.admin_port);
  node.peer_port = settings.peer_port;
  node.seeds = settings.seed_vms;
  node.fleet_secret = settings.fleet_secret;
  node.tls_certificate = settings.tls_certificate;
  node.tls_key = settings.tls_key;
  node.address_ttl_ms = settings.address_ttl_ms;
  node.max_answer_age_ttls = 1;
  node.shutdown_timeout_ms = settings.address_ttl_ms + settings.drain_limit_ms;
  node.startup_delay_ms = kStartupHoldMs;
  node.abort_withdrawn_keys = true;
  node.token_wait_ms = settings.token_wait_ms;
  node.router.refund_unused_tokens = true;
  node.router.max_requests = settings.max_streams;
  node.router.retries.initial_ms = node.router.retries.window_ms;
  node.cell_size = settings.cell_size;
  node.watcher.period_ms = kLoadReportPeriodMs;
  return node;
}

}  // namespace limpethaven
