/// @file
/// `limpethaven-publish`: validates service files and publishes them as the
/// next version of the configuration.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "cli/flags.h"
#include "limpethaven/config_codec.h"
#include "limpethaven/config_file.h"
#include "limpethaven/config_follower.h"

namespace limpethaven {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kServiceFileName = "limpethaven.toml";

struct PublishSettings {
  std::vector<std::string> sources;
  std::string output;
  bool check = false;
};

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
}

/// Writes a temporary file in the same folder and renames it, so that readers
/// never see an incomplete file.
void WriteFileAtomically(const fs::path& path, const std::string& text) {
  const fs::path temporary_path = path.string() + ".part";
  {
    std::ofstream out(temporary_path, std::ios::binary | std::ios::trunc);
    out << text;
  }
  fs::rename(temporary_path, path);
}

/// Reads the service files that are given by path and those below the folders
/// that are given, sorted by path.
std::vector<ServiceFile> ReadServiceFiles(
    const std::vector<std::string>& sources) {
  std::vector<fs::path> paths;
  std::ranges::for_each(sources, [&paths](const std::string& source) {
    if (!fs::is_directory(source)) {
      paths.emplace_back(source);
      return;
    }
    for (const auto& entry : fs::recursive_directory_iterator(source)) {
      if (entry.path().filename() == kServiceFileName) {
        paths.push_back(entry.path());
      }
    }
  });
  std::ranges::sort(paths);
  std::vector<ServiceFile> files;
  std::ranges::transform(paths, std::back_inserter(files),
                         [](const fs::path& path) {
                           return ServiceFile{path.string(), ReadFile(path)};
                         });
  return files;
}

/// Reads the published version that a head describes. Fails with
/// `kConfigInvalid` when its chunks do not have the digest of the head.
Result<EntityTable> ReadPublishedTable(const fs::path& output,
                                       const ConfigHead& head) {
  EntityTable table;
  for (const std::string& digest : head.chunks) {
    BOOST_OUTCOME_TRY(
        entities,
        DecodeEntityList(ReadFile(output / ("chunk-" + digest + ".json"))));
    table.Apply(entities, {});
  }
  if (table.Digest() != head.digest) {
    return Error::Of(ErrorKind::kConfigInvalid,
                     "the digest of the published chunks differs from that in "
                     "head.json, " +
                         head.digest);
  }
  return table;
}

/// Writes the chunks of the next version, then its head. Writes nothing when
/// the configuration has not changed. @returns a summary of the change.
Result<std::string> Publish(const Configuration& config,
                            const fs::path& output) {
  ConfigHead head;
  EntityTable published_table;
  if (fs::exists(output / "head.json")) {
    BOOST_OUTCOME_TRY(previous, DecodeHead(ReadFile(output / "head.json")));
    head = previous;
    BOOST_OUTCOME_TRY(table, ReadPublishedTable(output, head));
    published_table = table;
  }
  EntityTable next_table;
  next_table.Apply(EncodeEntities(config), {});
  ConfigChange change = published_table.ChangeTo(next_table);
  if (head.version > 0 && change.upserts.empty() && change.removals.empty()) {
    return "version " + std::to_string(head.version) + " unchanged";
  }
  for (std::size_t index = 0; index < kChunkCount; ++index) {
    const std::string text = next_table.ChunkText(index);
    if (text.size() > kMaxValueBytes) {
      return Error::Of(ErrorKind::kConfigInvalid,
                       "chunk " + std::to_string(index) + " has " +
                           std::to_string(text.size()) +
                           " bytes, expected at most " +
                           std::to_string(kMaxValueBytes));
    }
    WriteFileAtomically(
        output / ("chunk-" + next_table.ChunkDigests()[index] + ".json"), text);
  }
  head.version += 1;
  head.digest = next_table.Digest();
  head.chunks = next_table.ChunkDigests();
  change.version = head.version;
  const std::string summary =
      "version " + std::to_string(head.version) + ": " +
      std::to_string(change.upserts.size()) + " changed, " +
      std::to_string(change.removals.size()) + " removed";
  head.changes.push_back(std::move(change));
  if (head.changes.size() > kMaxHeadChangeCount) {
    head.changes.erase(head.changes.begin());
  }
  std::string text = EncodeHead(head);
  // The oldest changes are left out of a head that would be too large.
  // Followers that lack them read the chunks instead.
  while (text.size() > kMaxValueBytes / 4 && !head.changes.empty()) {
    head.changes.erase(head.changes.begin());
    text = EncodeHead(head);
  }
  WriteFileAtomically(output / "head.json", text);
  return summary;
}

int Run(const PublishSettings& settings) {
  const ParsedFiles parsed =
      ParseServiceFiles(ReadServiceFiles(settings.sources));
  std::ranges::for_each(parsed.faults, [](const FileFault& fault) {
    std::cerr << fault << '\n';
  });
  if (!parsed.faults.empty()) {
    std::cerr << parsed.faults.size() << " faults, nothing was written\n";
    return 1;
  }
  if (settings.check) {
    std::cout << "no faults\n";
    return 0;
  }
  fs::create_directories(settings.output);
  const auto published = Publish(parsed.config, settings.output);
  if (!published) {
    std::cerr << "limpethaven-publish: " << published.error() << '\n';
    return 1;
  }
  std::cout << published.value() << '\n';
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Publishes service files as one versioned configuration",
               "limpethaven-publish");
  PublishSettings settings;
  app.add_option(
         "sources", settings.sources,
         "Service files, or folders that hold files named limpethaven.toml")
      ->required()
      ->check(CLI::ExistingPath);
  AddFlag(app, "--output", settings.output,
          "Folder that the published values are written to");
  app.add_flag("--check", settings.check,
               "Validate the files without publishing them");
  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  if (settings.output.empty() && !settings.check) {
    std::cerr << "limpethaven-publish: --output: missing, expected a folder or "
                 "--check\n";
    return 2;
  }
  return Run(settings);
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
