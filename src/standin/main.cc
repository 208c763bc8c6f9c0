/// @file
/// `limpethaven-standin`: stand-ins for engines, services and the platform, and
/// a fault proxy, for tests and the demo.

#include <iostream>
#include <thread>

#include "cli/flags.h"
#include "edge/log.h"
#include "edge/signals.h"
#include "standin/engine_standin.h"
#include "standin/fault_proxy.h"
#include "standin/platform_standin.h"
#include "standin/service_standin.h"

namespace limpethaven {
namespace {

constexpr int kMaxPort = 65'535;

template <typename Standin>
int Serve(Standin& standin, std::string_view name) {
  const auto started = standin.Start();
  if (!started) {
    std::cerr << "limpethaven-standin: " << started.error() << '\n';
    return 1;
  }
  LogEvent(EventId::kProcessReady,
           {{"standin", std::string(name)}, {"address", standin.Address()}});
  WaitForStopSignal(0);
  standin.Stop();
  return 0;
}

int ServeProxy(const FaultProxySettings& settings) {
  Loop loop{1};
  FaultProxy proxy(loop, settings);
  if (!proxy.Start()) {
    std::cerr << "limpethaven-standin: cannot listen on " << settings.address
              << ':' << settings.port << '\n';
    return 1;
  }
  std::thread thread([&loop] { loop.run(); });
  WaitForStopSignal(0);
  loop.stop();
  thread.join();
  loop.EndTasks();
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins for engines, services and the platform",
               "limpethaven-standin");
  app.require_subcommand(1);

  EngineStandinSettings engine;
  CLI::App* engine_command =
      app.add_subcommand("engine", "A prefill or decode engine");
  AddFlag(*engine_command, "--address", engine.address,
          "IP address to listen on");
  AddRangedFlag(*engine_command, "--port", engine.port, 1, kMaxPort, "port",
                "Port");
  AddFlag(*engine_command, "--role", engine.role, "prefill, decode or mixed");
  AddRangedFlag<std::int64_t>(*engine_command, "--pieces", engine.pieces, 1,
                              100'000, "pieces",
                              "Memory, in pieces of 1,000 tokens");
  AddRangedFlag<DurationMs>(*engine_command, "--step-ms", engine.step_ms, 1,
                            1000, "ms", "Period of decode steps");
  AddRangedFlag(*engine_command, "--prefill-ms-per-token",
                engine.prefill_ms_per_token, 0.0, 100.0, "ms",
                "Prefill time of a token that is not cached");
  AddRangedFlag(*engine_command, "--link-mbytes-per-s",
                engine.link_mbytes_per_s, 1.0, 1e6, "MB/s",
                "Rate of KV imports");
  AddFlag(*engine_command, "--checks-fencing", engine.checks_fencing,
          "Whether orders with old fencing tokens are refused");

  PlatformStandinSettings platform;
  CLI::App* platform_command =
      app.add_subcommand("platform", "Configuration service and VM list");
  AddFlag(*platform_command, "--address", platform.address,
          "IP address to listen on");
  AddRangedFlag(*platform_command, "--port", platform.port, 1, kMaxPort, "port",
                "Port");
  AddFlag(*platform_command, "--directory", platform.directory,
          "Directory with the published values and vms.json")
      ->required();
  AddRangedFlag<DurationMs>(*platform_command, "--vm-list-lag-ms",
                            platform.vm_list_lag_ms, 0, 600'000, "ms",
                            "Time by which the VM list lags behind vms.json");

  std::string service_address = "127.0.0.1";
  int service_port = 0;
  CLI::App* service_command = app.add_subcommand("service", "A plain service");
  AddFlag(*service_command, "--address", service_address,
          "IP address to listen on");
  AddRangedFlag(*service_command, "--port", service_port, 1, kMaxPort, "port",
                "Port");

  FaultProxySettings proxy;
  CLI::App* proxy_command =
      app.add_subcommand("proxy", "TCP proxy that injects faults");
  AddFlag(*proxy_command, "--address", proxy.address,
          "IP address to listen on");
  AddRangedFlag(*proxy_command, "--port", proxy.port, 1, kMaxPort, "port",
                "Port");
  AddFlag(*proxy_command, "--to", proxy.target,
          "IP:port to which connections are forwarded")
      ->required();
  AddRangedFlag<std::uint64_t>(*proxy_command, "--seed", proxy.seed, 0,
                               1'000'000'000, "",
                               "Seed of the fault schedule; 0: no faults");
  AddRangedFlag<DurationMs>(*proxy_command, "--until-ms", proxy.until_ms, 0,
                            86'400'000, "ms",
                            "Time after which no fault begins; 0: no limit");

  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  StartLogging("limpethaven-standin");
  if (engine_command->parsed()) {
    EngineStandin standin(engine);
    return Serve(standin, "engine");
  }
  if (platform_command->parsed()) {
    PlatformStandin standin(platform);
    return Serve(standin, "platform");
  }
  if (proxy_command->parsed()) return ServeProxy(proxy);
  ServiceStandin standin(service_address, service_port);
  return Serve(standin, "service");
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) {
  limpethaven::BlockStopSignals();
  return limpethaven::Main(argc, argv);
}
