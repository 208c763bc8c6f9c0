/// @file
/// TLS of the accepting side, apart from sockets.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace limpethaven {

/// Presents the certificate that the files hold now; read again when they
/// change. Files that do not fit together leave the last good ones in place.
class TlsFiles {
 public:
  TlsFiles(std::string certificate, std::string key);
  ~TlsFiles();
  TlsFiles(const TlsFiles&) = delete;
  TlsFiles& operator=(const TlsFiles&) = delete;

  /// Whether a certificate can be presented.
  [[nodiscard]] bool Usable();
  /// Context of the present certificate; null without one.
  [[nodiscard]] ssl_ctx_st* Current();

 private:
  struct FreeContext {
    void operator()(ssl_ctx_st* context) const;
  };
  void Reload();

  std::string certificate_file;
  std::string key_file;
  std::unique_ptr<ssl_ctx_st, FreeContext> loaded;
  std::filesystem::file_time_type loaded_at;
};

/// One connection's handshake and records, from bytes to bytes.
class TlsCodec {
 public:
  explicit TlsCodec(ssl_ctx_st* context);
  ~TlsCodec();
  TlsCodec(const TlsCodec&) = delete;
  TlsCodec& operator=(const TlsCodec&) = delete;

  /// Takes bytes from the wire. @returns false when they are no TLS.
  [[nodiscard]] bool Receive(std::string_view wire, std::string& plain);
  /// Encrypts. Empty until the handshake is done.
  [[nodiscard]] bool Encrypt(std::string_view plain);
  /// Bytes that must go onto the wire.
  [[nodiscard]] std::string TakeOutput();
  /// Whether the peer has ended the stream in order.
  [[nodiscard]] bool Ended() const noexcept;

 private:
  struct FreeStream {
    void operator()(ssl_st* stream) const;
  };
  std::unique_ptr<ssl_st, FreeStream> stream;
  bool ended = false;
};

}  // namespace limpethaven
