#include "limpethaven/resume_token.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>

#include "limpethaven/crypto.h"

namespace limpethaven {

std::ostream& operator<<(std::ostream& out, const ResumeToken& token) {
  return out << token.request_id << '+' << token.offset << " on engine "
             << token.engine;
}

std::string EncodeResumeBase(std::string_view secret,
                             const ResumeToken& token) {
  const nlohmann::json fields = nlohmann::json::array(
      {"resume", token.request_id, token.attempt, token.team, token.model,
       token.engine, token.cell, token.reservation, token.pieces});
  return SignText(secret, fields.dump());
}

std::string EncodeResumeId(std::string_view base, std::int64_t offset) {
  return std::to_string(offset) + "~" + std::string(base);
}

std::optional<ResumeToken> DecodeResumeId(std::string_view secret,
                                          std::string_view text) {
  const auto tilde = text.find('~');
  if (tilde == std::string_view::npos) return std::nullopt;
  std::int64_t offset = 0;
  const char* const end =
      std::next(text.data(), static_cast<std::ptrdiff_t>(tilde));
  const auto number = std::from_chars(text.data(), end, offset);
  if (number.ec != std::errc() || number.ptr != end || offset < 0) {
    return std::nullopt;
  }
  const auto fields = nlohmann::json::parse(
      VerifyText(secret, text.substr(tilde + 1)), nullptr, false);
  if (!fields.is_array() || fields.size() != 9 || fields[0] != "resume") {
    return std::nullopt;
  }
  const auto field = [&fields](std::size_t index) {
    return fields[index].get<std::string>();
  };
  try {
    return ResumeToken{
        field(1), field(2), field(3), field(4),
        field(5), field(6), field(7), fields[8].get<std::int64_t>(),
        offset};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace limpethaven
