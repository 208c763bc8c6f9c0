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
  const std::string_view bare =
      flag.substr(std::min(flag.size(), flag.find_first_not_of('-')));
  std::ranges::transform(bare, std::back_inserter(name), [](char character) {
    return character == '-' ? '_' : static_cast<char>(std::toupper(character));
  });
  return name;
}

FlagOutcome ParseFlags(CLI::App& app, int argc, char** argv) {
  app.set_version_flag("--version", std::string(kVersion));
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& done) {
    return {false, app.exit(done)};
  } catch (const CLI::ParseError& fault) {
    std::cerr << app.get_name() << ": " << fault.what() << '\n';
    return {false, kUsageExitCode};
  }
  return {};
}

Result<std::string> ReadFleetSecret(const std::string& file) {
  std::string secret;
  if (!file.empty()) {
    std::ifstream in(file);
    std::getline(in, secret);
  } else if (const char* value = std::getenv("LIMPETHAVEN_FLEET_SECRET")) {
    secret = value;
  }
  if (secret.size() < kMinSecretBytes) {
    return Error::Of(ErrorKind::kBadRequest,
                     "fleet secret: expected at least 16 characters in "
                     "LIMPETHAVEN_FLEET_SECRET "
                     "or in the file named by --fleet-secret-file");
  }
  return secret;
}

}  // namespace limpethaven
