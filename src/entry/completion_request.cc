#include "entry/completion_request.h"

#include <nlohmann/json.hpp>

namespace limpethaven {
namespace {

using nlohmann::json;

/// Most output tokens of a request without `max_tokens`.
constexpr Tokens kDefaultMaxTokens = 256;

Error InvalidField(std::string_view field, std::string_view expected) {
  return Error::Of(ErrorKind::kBadRequest,
                   std::string(field) + ": expected " + std::string(expected));
}

Result<std::string> PromptFrom(const json& body) {
  if (body.contains("prompt")) {
    if (!body["prompt"].is_string() ||
        body["prompt"].get_ref<const std::string&>().empty()) {
      return InvalidField("prompt", "a string that is not empty");
    }
    return body["prompt"].get<std::string>();
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidField("prompt",
                        "a string, or messages: an array of {role, content}");
  }
  std::string prompt;
  for (const json& message : *messages) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() &&
                       message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return InvalidField("messages",
                          "objects with the strings role and content");
    }
    prompt += message["role"].get<std::string>() + ": " +
              message["content"].get<std::string>();
    prompt += '\n';
  }
  return prompt;
}

}  // namespace

Result<CompletionRequest> ParseCompletionRequest(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return InvalidField("body", "a JSON object");
  CompletionRequest request;
  if (!body.contains("model") || !body["model"].is_string()) {
    return InvalidField("model", "a string");
  }
  request.model = body["model"].get<std::string>();
  BOOST_OUTCOME_TRY(prompt, PromptFrom(body));
  request.prompt = prompt;
  request.max_tokens = kDefaultMaxTokens;
  if (body.contains("max_tokens")) {
    const json& value = body["max_tokens"];
    if (!value.is_number_integer() || value < 1 ||
        value > kMaxTokensPerRequest) {
      return InvalidField(
          "max_tokens",
          "an integer from 1 to " + std::to_string(kMaxTokensPerRequest));
    }
    request.max_tokens = value.get<Tokens>();
  }
  if (body.contains("stream")) {
    if (!body["stream"].is_boolean()) {
      return InvalidField("stream", "true or false");
    }
    request.stream = body["stream"].get<bool>();
  }
  return request;
}

}  // namespace limpethaven
