#include "cli/flags.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace limpethaven {
namespace {

constexpr int kUsageExitCode = 2;
constexpr std::size_t kMinSecretBytes = 16;

}  // namespace

std::string EnvironmentName(std::string_view flag) {
  std::string name = "LIMPETHAVEN_";
  const std::string_view flag_name =
      flag.substr(std::min(flag.size(), flag.find_first_not_of('-')));
  std::ranges::transform(
      flag_name, std::back_inserter(name), [](char character) {
        return character == '-' ? '_'
                                : static_cast<char>(std::toupper(character));
      });
  return name;
}

FlagOutcome ParseFlags(CLI::App& app, int argc, char** argv) {
  app.set_version_flag("--version", std::string(kVersion));
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& success) {
    return {false, app.exit(success)};
  } catch (const CLI::ParseError& error) {
    std::cerr << app.get_name() << ": " << error.what() << '\n';
    return {false, kUsageExitCode};
  }
  return {};
}

Result<std::string> ReadFleetSecret(const std::string& file) {
  std::string secret;
  if (!file.empty()) {
    std::ifstream input(file);
    std::getline(input, secret);
  } else if (const char* value = std::getenv("LIMPETHAVEN_FLEET_SECRET")) {
    secret = value;
  }
  if (secret.size() < kMinSecretBytes) {
    return Error::Of(ErrorKind::kBadRequest,
                     "fleet secret is missing or shorter than 16 bytes: set "
                     "LIMPETHAVEN_FLEET_SECRET or write it to the file named "
                     "by --fleet-secret-file");
  }
  return secret;
}

}  // namespace limpethaven
