/// @file
/// `limpethaven-placement`: keeps engines at the published model versions.

#include <iostream>

#include "edge/engine_client.h"
#include "edge/flags.h"
#include "edge/log.h"
#include "edge/peer_transport.h"
#include "edge/platform_client.h"
#include "edge/signals.h"
#include "entry/config_service.h"
#include "entry/gossip_service.h"
#include "limpethaven/crypto.h"
#include "placement/placement_service.h"

namespace limpethaven {
namespace {

constexpr int kMaxPort = 65'535;

struct PlacementSettings {
  std::string address;
  std::string data_centre;
  std::string platform;
  std::string fleet_secret_file;
  std::string fleet_secret;
  int peer_port = 8091;
  DurationMs period_ms = 1000;
  bool check = false;
};

void AddPlacementFlags(CLI::App& app, PlacementSettings& settings) {
  AddFlag(app, "--address", settings.address,
          "IP number that other placement processes reach")
      ->required();
  AddFlag(app, "--data-centre", settings.data_centre, "Data centre of this VM")
      ->required();
  AddFlag(app, "--platform", settings.platform,
          "IP:port of the configuration service")
      ->required();
  AddFlag(app, "--fleet-secret-file", settings.fleet_secret_file,
          "File with the fleet secret; otherwise LIMPETHAVEN_FLEET_SECRET");
  AddRangedFlag(
      app, "--peer-port", settings.peer_port, 1, kMaxPort, "port",
      "Port of placement processes, TCP and UDP, the same on every VM");
  AddRangedFlag<DurationMs>(app, "--period-ms", settings.period_ms, 100, 60'000,
                            "ms", "Time between two looks at the engines");
  app.add_flag("--check", settings.check, "Check the settings and exit");
}

int Serve(const PlacementSettings& settings) {
  const SystemClock clock;
  const VmId self{settings.address,
                  MakeIncarnation(clock.WallNow(), RandomBits())};
  HttpPlatform platform(settings.platform);
  HttpEngineClient engines;
  HttpPeerTransport transport(
      PeerTransportSettings{self, settings.peer_port, settings.fleet_secret});
  ConfigService* config_view = nullptr;
  GossipService gossip(
      self, settings.data_centre, settings.fleet_secret, transport, clock,
      [&config_view](const std::string& peer, std::uint64_t version,
                     const std::string& digest) {
        if (config_view != nullptr) {
          config_view->OnPeerVersion(peer, version, digest);
        }
      });
  ConfigService config(platform, transport,
                       [&gossip](const Configuration& adopted) {
                         gossip.SetConfig(adopted.version, adopted.digest);
                       });
  transport.Handle("/peer/v1/config",
                   [&config](const VmId&, const std::string& body) {
                     return config.AnswerPull(body);
                   });
  const auto started = transport.Start(
      [&gossip](std::string_view bytes) { gossip.OnDatagram(bytes); });
  if (!started) {
    std::cerr << "limpethaven-placement: " << started.error() << '\n';
    return 1;
  }
  config_view = &config;
  gossip.Start();
  config.Start();
  LogEvent(EventId::kProcessReady, {LogField::Of("vm", self)});

  OrderPlanner planner(self.incarnation);
  TimeMs last_step = clock.Now();
  while (!WaitForStopSignal(settings.period_ms)) {
    const TimeMs now = clock.Now();
    // After a pause others may own what this process thinks is its own.
    if (now - last_step > OrderSettings{}.lease_ms) {
      planner.DropAll();
      LogWarning(EventId::kPauseDetected, {LogField::Of("vm", self)});
    }
    last_step = now;
    if (const auto vms = platform.Read()) gossip.SetListed(vms.value());
    RunPlacementStep(*config.Snapshot(), self.address, gossip.Usable(), engines,
                     planner, now);
  }
  gossip.Leave();
  config.Stop();
  gossip.Stop();
  transport.Stop();
  LogEvent(EventId::kProcessStopped, {LogField::Of("vm", self)});
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Keeps engines at the published model versions",
               "limpethaven-placement");
  PlacementSettings settings;
  AddPlacementFlags(app, settings);
  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  const auto secret = ReadFleetSecret(settings.fleet_secret_file);
  if (!secret) {
    std::cerr << "limpethaven-placement: " << secret.error().message << '\n';
    return 2;
  }
  settings.fleet_secret = secret.value();
  if (settings.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  StartLogging("limpethaven-placement");
  return Serve(settings);
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) {
  limpethaven::BlockStopSignals();
  return limpethaven::Main(argc, argv);
}
