/// @file
/// JSON bodies of the HTTP protocol between the router and engines.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "limpethaven/interfaces.h"

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PrefillAnswer, kv_handle, cached_tokens,
                                   elapsed_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamEvent, request_id, attempt, offset,
                                   count, text, last, superseded, attachment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeldRequest, request_id, attempt, pieces,
                                   age_ms, detached_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineLoad, pieces_used, pieces_total, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CacheEvent, number, block, added)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineOrder, model, model_version, role,
                                   fence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineState, model, model_version, role,
                                   fence)

/// Body of `POST /prefill`.
struct PrefillBody {
  std::string request_id;
  std::string attempt;
  std::string prompt;
  Tokens prompt_tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PrefillBody, request_id, attempt, prompt,
                                   prompt_tokens)

/// Body of `POST /generate`.
struct GenerateBody {
  std::string request_id;
  std::string attempt;
  std::string kv_source;
  std::string kv_handle;
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  std::int64_t pieces = 0;
  std::int64_t priority = 0;
  std::int64_t offset = 0;
  bool resume = false;
  std::int64_t expected_attachment = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GenerateBody, request_id, attempt, kv_source,
                                   kv_handle, prompt_tokens, max_tokens, pieces,
                                   priority, offset, resume,
                                   expected_attachment)

/// Body of `POST /cancel`.
struct CancelBody {
  std::string request_id;
  std::string attempt;
  std::int64_t attachment = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelBody, request_id, attempt, attachment)

/// Parses a JSON body into `T`. Fails with `kBadRequest` if it is not valid
/// JSON or lacks a field of `T`; the message starts with `what`, the name of
/// the body.
template <typename T>
[[nodiscard]] Result<T> ReadJson(std::string_view text, std::string_view what) {
  try {
    return nlohmann::json::parse(text).get<T>();
  } catch (const nlohmann::json::exception& exception) {
    return Error::Of(ErrorKind::kBadRequest,
                     std::string(what) + ": " + exception.what());
  }
}

/// Serializes `value` as JSON on one line. Bytes that are not valid UTF-8
/// become U+FFFD.
template <typename T>
[[nodiscard]] std::string WriteJson(const T& value) {
  return nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

}  // namespace limpethaven
