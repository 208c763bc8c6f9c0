/// @file
/// `limpethavenctl`: command-line client with which operators inspect and drain
/// entry processes, and check files and logs.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "cli/flags.h"
#include "edge/http_client.h"
#include "limpethaven/config_file.h"
#include "limpethaven/crypto.h"
#include "log/request_story.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCallTimeoutMs = 3000;
constexpr int kJsonIndentSpaces = 2;

struct CtlSettings {
  std::string admin = "127.0.0.1:8082";
  std::string target = "127.0.0.1:8080";
  std::string team;
  std::string request;
  std::vector<std::string> logs;
  std::vector<std::string> files;
};

/// Sends a request to a process. @returns the JSON body of its response, or the
/// error if it does not answer.
Result<nlohmann::json> FetchJson(const std::string& address,
                                 httplib::Request request) {
  HttpPool pool;
  BOOST_OUTCOME_TRY(response,
                    pool.Send(address, std::move(request), kCallTimeoutMs));
  return nlohmann::json::parse(response.body, nullptr, false);
}

/// Prints a response or an error. @returns the exit code: 0 or 1.
int PrintAnswer(const Result<nlohmann::json>& answer) {
  if (!answer) {
    std::cerr << "limpethavenctl: " << answer.error().message << '\n';
    return 1;
  }
  std::cout << answer.value().dump(kJsonIndentSpaces) << '\n';
  return 0;
}

/// Prints one team's row of `/debug/teams`. @returns the exit code.
int PrintTeam(const CtlSettings& settings) {
  const auto answer = FetchJson(settings.admin, GetRequest("/debug/teams"));
  if (!answer) return PrintAnswer(answer);
  const auto& rows = answer.value();
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [&](const nlohmann::json& row) { return row["team"] == settings.team; });
  if (found != rows.end()) return PrintAnswer(*found);
  std::cerr << "limpethavenctl: no team '" << settings.team
            << "' in the configuration of the entry process at "
            << settings.admin << '\n';
  return 1;
}

/// Prints the digest of a key. The key is read from standard input, so that it
/// does not get into the shell's history. @returns the exit code.
int HashKey() {
  std::string key;
  std::getline(std::cin, key);
  if (key.empty()) {
    std::cerr << "limpethavenctl: expected a key on standard input\n";
    return 2;
  }
  std::cout << Sha256Hex(key) << '\n';
  return 0;
}

/// Prints the faults of service files. @returns the exit code: 0 without any.
int CheckFiles(const CtlSettings& settings) {
  std::vector<ServiceFile> files;
  std::ranges::transform(
      settings.files, std::back_inserter(files), [](const std::string& path) {
        std::ifstream in(path, std::ios::binary);
        return ServiceFile{path, std::string(std::istreambuf_iterator<char>(in),
                                             std::istreambuf_iterator<char>())};
      });
  const ParsedFiles parsed = ParseServiceFiles(files);
  std::ranges::for_each(parsed.faults, [](const FileFault& fault) {
    std::cout << fault << '\n';
  });
  std::cout << parsed.faults.size() << " faults\n";
  return parsed.faults.empty() ? 0 : 1;
}

/// Prints the events of one request from the logs of several VMs, in order of
/// time. @returns the exit code.
int Explain(const CtlSettings& settings) {
  std::vector<std::string> lines;
  const auto append_lines = [&lines](std::istream& in) {
    std::string line;
    while (std::getline(in, line)) lines.push_back(line);
  };
  for (const std::string& path : settings.logs) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "limpethavenctl: cannot open log file '" << path << "'\n";
      return 2;
    }
    append_lines(file);
  }
  if (settings.logs.empty()) append_lines(std::cin);
  const RequestTimeline timeline =
      BuildRequestTimeline(settings.request, lines);
  if (timeline.events.empty()) {
    std::cerr << "limpethavenctl: the logs have no event of request '"
              << settings.request << "'\n";
    return 1;
  }
  std::ranges::for_each(timeline.events, [](const std::string& line) {
    std::cout << line << '\n';
  });
  std::cout << "ended by: " << timeline.terminal_event << '\n';
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Inspects and drains entry processes, checks files and logs",
               "limpethavenctl");
  app.require_subcommand(1);
  CtlSettings settings;
  const auto add_command = [&](const std::string& name,
                               const std::string& help) {
    return app.add_subcommand(name, help);
  };
  const auto add_admin = [&](CLI::App* command) {
    AddFlag(*command, "--admin", settings.admin,
            "IP:port of a process's admin server");
  };
  CLI::App* status = add_command(
      "status", "State of one entry process and its view of the others");
  add_admin(status);
  CLI::App* cells =
      add_command("cells", "Cells that one entry process schedules");
  add_admin(cells);
  CLI::App* team =
      add_command("team", "Share of a team's rate at one entry process");
  add_admin(team);
  team->add_option("name", settings.team, "Team")->required();
  CLI::App* addresses =
      add_command("addresses", "Addresses that callers get from /v1/addresses");
  AddFlag(*addresses, "--target", settings.target, "IP:port of an entry VM");
  CLI::App* drain = add_command("drain", "Stop one entry process gracefully");
  add_admin(drain);
  CLI::App* check = add_command("check", "Validate service files");
  check->add_option("files", settings.files, "Service files")
      ->required()
      ->check(CLI::ExistingFile);
  CLI::App* explain =
      add_command("explain", "Print the events of one request from a log");
  explain->add_option("request", settings.request, "Request id")->required();
  explain->add_option(
      "--log", settings.logs,
      "Log files of one VM or more; without any, standard input is read");
  CLI::App* key = add_command("key", "Keys");
  key->require_subcommand(1);
  key->add_subcommand("hash", "Print the digest of the key on standard input");

  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  if (key->parsed()) return HashKey();
  if (check->parsed()) return CheckFiles(settings);
  if (explain->parsed()) return Explain(settings);
  if (team->parsed()) return PrintTeam(settings);
  if (addresses->parsed()) {
    return PrintAnswer(FetchJson(settings.target, GetRequest("/v1/addresses")));
  }
  if (drain->parsed()) {
    return PrintAnswer(
        FetchJson(settings.admin, PostRequest("/admin/drain", "")));
  }
  const std::string path = cells->parsed() ? "/debug/cells" : "/debug/status";
  return PrintAnswer(FetchJson(settings.admin, GetRequest(path)));
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
