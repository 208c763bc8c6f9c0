/// @file
/// Fuzzes the decoders of tickets and resume ids with the raw input, and with
/// the input as a payload that has a valid signature.
#include <cstdint>
#include <string>

#include "limpethaven/crypto.h"
#include "limpethaven/resume_token.h"
#include "limpethaven/ticket_book.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  constexpr const char* kSecret = "a-secret-for-fuzzing";
  const std::string text(reinterpret_cast<const char*>(data), size);
  const std::string signed_text = limpethaven::SignText(kSecret, text);
  static_cast<void>(limpethaven::DecodeTicket(kSecret, text));
  static_cast<void>(limpethaven::DecodeTicket(kSecret, signed_text));
  static_cast<void>(limpethaven::DecodeResumeId(kSecret, text));
  static_cast<void>(limpethaven::DecodeResumeId(kSecret, "1~" + signed_text));
  return 0;
}
