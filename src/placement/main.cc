/// @file
/// `limpethaven-placement`: orders engines to serve the published model
/// versions.

#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "cli/flags.h"
#include "entry/native_source.h"
#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "net/notifier.h"
#include "node/published_state.h"
#include "placement/placement_service.h"

namespace limpethaven {
namespace {

constexpr int kMaxPort = 65'535;
constexpr int kUsageExitCode = 2;

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
          "IPv4 address that other placement processes connect to")
      ->required();
  AddFlag(app, "--data-centre", settings.data_centre, "Data centre of this VM")
      ->required();
  AddFlag(app, "--platform", settings.platform,
          "IP:port of the configuration service")
      ->required();
  AddFlag(app, "--fleet-secret-file", settings.fleet_secret_file,
          "File with the fleet secret; without it LIMPETHAVEN_FLEET_SECRET is "
          "read");
  AddRangedFlag(
      app, "--peer-port", settings.peer_port, 1, kMaxPort, "port",
      "Port for other placement processes, TCP and UDP, the same on every VM");
  AddRangedFlag<DurationMs>(app, "--period-ms", settings.period_ms, 100, 60'000,
                            "ms", "Time between two placement steps");
  app.add_flag("--check", settings.check, "Validate the settings and exit");
}

/// One placement process: follows the platform and its peers, and sends orders
/// to the engines that it owns.
class PlacementNode final : public GossipListener, public StateListener {
 public:
  PlacementNode(Loop& event_loop, const PlacementSettings& settings)
      : loop(event_loop),
        period_ms(settings.period_ms),
        // Fencing tokens of a later start must be higher, so the incarnation
        // is made from the start time.
        identity{VmId{settings.address,
                      MakeIncarnation(SystemClock().WallNow(), RandomBits())},
                 settings.data_centre, 0, settings.peer_port,
                 settings.fleet_secret},
        gossip(event_loop, this->identity, MembershipSettings{}, *this),
        link(event_loop, this->identity),
        state(this->link, this->gossip, this->table, *this),
        engines(event_loop),
        planner(this->identity.self.incarnation) {}

  /// Starts the peer link, the gossip, the configuration source and the
  /// placement steps. @returns false when the peer port cannot be bound.
  [[nodiscard]] bool Start(Source& source) {
    if (!this->link.Start() || !this->gossip.Start({})) return false;
    source.Start(this->state);
    Spawn(this->loop, [this]() -> Task<> { co_await this->RunSteps(); });
    LogEvent(EventId::kProcessReady, {LogField::Of("vm", this->identity.self)});
    return true;
  }

  /// Announces that this process leaves, and ends the loop.
  void Stop() {
    this->gossip.Leave();
    LogEvent(EventId::kProcessStopped,
             {LogField::Of("vm", this->identity.self)});
    this->loop.stop();
  }

  void OnPeerVersions(const std::string& address, std::uint64_t version,
                      const SourceRevision& endpoints_revision) override {
    this->state.OnPeerVersions(address, version, endpoints_revision);
  }
  void OnMemberChange(const MemberChange&) override {}
  /// Gives up all engines: while this process was paused, others may have taken
  /// them over.
  void OnPause() override {
    this->planner.ReleaseAll();
    LogEvent(EventId::kPauseDetected, {});
  }
  void OnConfig(const std::shared_ptr<const Configuration>& config) override {
    this->gossip.SetConfig(config->version, config->digest);
  }
  void OnEndpoints() override {}
  void OnListedVms(const std::vector<ListedVm>& vms) override {
    this->gossip.SetListed(vms);
  }

 private:
  /// Runs a placement step in each period. Never returns.
  Task<> RunSteps() {
    for (;;) {
      co_await SleepFor(this->loop, this->period_ms);
      this->state.Tick();
      const std::shared_ptr<const Configuration> config = this->state.Config();
      co_await RunPlacementStep(*config, this->identity.self.address,
                                this->gossip.Members().UsableAddresses(),
                                this->engines, this->planner, LoopNow());
    }
  }

  Loop& loop;
  DurationMs period_ms;
  PeerIdentity identity;
  EndpointTable table;
  Gossip gossip;
  PeerLink link;
  PublishedState state;
  HttpEngineOrders engines;
  OrderPlanner planner;
};

int Serve(const PlacementSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLog log(STDERR_FILENO, LogLimits{.flush_each_line = true});
  log.SetVm(settings.address);
  SetEventLog(&log);
  Loop loop(1);
  NativeSource source(loop, settings.platform);
  PlacementNode node(loop, settings);
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&node](const error_code& fault, int) {
    if (!fault) node.Stop();
  });
  if (!node.Start(source)) {
    std::cerr << "limpethaven-placement: cannot listen on " << settings.address
              << ':' << settings.peer_port << '\n';
    return 1;
  }
  loop.run();
  // Suspended coroutines still refer to the node and the loop. No destructors
  // run: the end of the process frees everything at once.
  ::_exit(0);
}

int Main(int argc, char** argv) {
  CLI::App app("Orders engines to serve the published model versions",
               "limpethaven-placement");
  PlacementSettings settings;
  AddPlacementFlags(app, settings);
  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  const auto secret = ReadFleetSecret(settings.fleet_secret_file);
  if (!secret) {
    std::cerr << "limpethaven-placement: " << secret.error().message << '\n';
    return kUsageExitCode;
  }
  settings.fleet_secret = secret.value();
  if (settings.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Serve(settings);
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
