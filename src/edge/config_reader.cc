#include "edge/config_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "edge/http_client.h"
#include "limpethaven/config_codec.h"
#include "limpethaven/config_file.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCallTimeoutMs = 3000;

/// Reads a whole file. @returns `kBadRequest` if it cannot be read.
Result<std::string> ReadFile(const std::string& path) {
  const Error unreadable =
      Error::Of(ErrorKind::kBadRequest, "cannot read file '" + path + "'");
  std::error_code ignored;
  // A folder can be opened, and reading it throws.
  if (std::filesystem::is_directory(path, ignored)) return unreadable;
  std::ifstream in(path, std::ios::binary);
  if (!in.is_open()) return unreadable;
  std::ostringstream text;
  text << in.rdbuf();
  if (in.bad()) return unreadable;
  return text.str();
}

Result<std::vector<ServiceFile>> ReadServiceFiles(
    const std::vector<std::string>& paths) {
  std::vector<ServiceFile> files;
  for (const std::string& path : paths) {
    BOOST_OUTCOME_TRY(text, ReadFile(path));
    files.push_back(ServiceFile{path, std::move(text)});
  }
  return files;
}

/// Entities of the published version whose head is `text`. The chunks are read
/// from the folder of the head.
Result<std::vector<Entity>> ReadPublished(const std::string& path,
                                          const std::string& text) {
  BOOST_OUTCOME_TRY(head, DecodeHead(text));
  std::vector<Entity> entities;
  for (const std::string& digest : head.chunks) {
    const auto chunk = std::filesystem::path(path).parent_path() /
                       ("chunk-" + digest + ".json");
    BOOST_OUTCOME_TRY(chunk_text, ReadFile(chunk.string()));
    BOOST_OUTCOME_TRY(rows, DecodeEntityList(chunk_text));
    std::ranges::move(rows, std::back_inserter(entities));
  }
  return entities;
}

}  // namespace

Result<std::vector<Entity>> ReadEntities(const std::string& source) {
  const bool is_address = source.find(':') != std::string::npos;
  std::error_code ignored;
  if (is_address && !std::filesystem::exists(source, ignored)) {
    HttpPool pool;
    BOOST_OUTCOME_TRY(response, pool.Send(source, GetRequest("/debug/config"),
                                          kCallTimeoutMs));
    if (response.status != 200) {
      return Error::Of(ErrorKind::kEndpointFailed,
                       source + " answered with status " +
                           std::to_string(response.status) +
                           " to /debug/config");
    }
    return DecodeEntityList(response.body);
  }
  BOOST_OUTCOME_TRY(text, ReadFile(source));
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text[first] == '{') {
    return ReadPublished(source, text);
  }
  if (source.ends_with(".json")) return DecodeEntityList(text);
  const ParsedFiles parsed = ParseServiceFiles({ServiceFile{source, text}});
  const auto syntax = std::ranges::find_if(
      parsed.faults, [](const FileFault& fault) { return fault.line > 0; });
  if (parsed.places.empty() && syntax != parsed.faults.end()) {
    std::ostringstream message;
    message << *syntax;
    return Error::Of(ErrorKind::kConfigInvalid, message.str());
  }
  // References to entries of other files do not matter for a comparison.
  return EncodeEntities(parsed.config);
}

Result<CheckedFiles> CheckConfigFiles(const std::vector<std::string>& paths) {
  CheckedFiles checked;
  if (paths.size() == 1 && paths.front().ends_with(".json")) {
    BOOST_OUTCOME_TRY(entities, ReadEntities(paths.front()));
    Configuration config;
    for (const Entity& entity : entities) {
      BOOST_OUTCOME_TRY(ApplyEntity(config, entity));
    }
    checked.findings = CheckConfiguration(config, {});
    checked.entities = std::move(entities);
    return checked;
  }
  BOOST_OUTCOME_TRY(files, ReadServiceFiles(paths));
  checked.findings = CheckServiceFiles(files);
  checked.entities = EncodeEntities(ParseServiceFiles(files).config);
  return checked;
}

}  // namespace limpethaven
