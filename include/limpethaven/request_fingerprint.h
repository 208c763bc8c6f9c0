/// @file
/// Identity of a request's content, which its repetitions have in common.
#pragma once

#include <string>
#include <string_view>

namespace limpethaven {

/// Prefix of all fingerprints. No part of a prompt begins with it, because the
/// ids of parts have no colon.
inline constexpr std::string_view kFingerprintPrefix = "request:";

/// Fingerprint of what an endpoint is sent to run: the same for each repetition
/// of a request, whatever its id and time limit. It covers the team, so that
/// no caller can produce the fingerprint of another team's request.
/// @param target Path with the query.
/// @param team Empty on routes open to all callers.
/// @param content Body, and what else of the request determines the answer.
[[nodiscard]] std::string RequestFingerprint(std::string_view method,
                                             std::string_view target,
                                             std::string_view team,
                                             std::string_view content);

}  // namespace limpethaven
