/// @file
/// Server side of TLS, without socket I/O.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace limpethaven {

/// Certificate and private key that are loaded from PEM files and reloaded
/// when the certificate file's modification time changes. If the files cannot
/// be loaded or do not match, the last valid pair stays in use.
class TlsFiles {
 public:
  TlsFiles(std::string certificate, std::string key);
  ~TlsFiles();
  TlsFiles(const TlsFiles&) = delete;
  TlsFiles& operator=(const TlsFiles&) = delete;

  /// Whether a valid certificate and key are loaded.
  [[nodiscard]] bool Usable();
  /// OpenSSL context with the current certificate; null if none is
  /// loaded.
  [[nodiscard]] ssl_ctx_st* Current();

 private:
  struct FreeContext {
    void operator()(ssl_ctx_st* context) const;
  };
  void Reload();

  std::string certificate_file;
  std::string key_file;
  std::unique_ptr<ssl_ctx_st, FreeContext> context;
  std::filesystem::file_time_type certificate_time;
};

/// TLS handshake and record layer of one connection. Translates between bytes
/// of the connection and application data; does no I/O.
class TlsCodec {
 public:
  explicit TlsCodec(ssl_ctx_st* context);
  ~TlsCodec();
  TlsCodec(const TlsCodec&) = delete;
  TlsCodec& operator=(const TlsCodec&) = delete;

  /// Processes received bytes and appends the decrypted application data to
  /// `plaintext`. @returns false if the bytes are not valid TLS.
  [[nodiscard]] bool Receive(std::string_view ciphertext,
                             std::string& plaintext);
  /// Encrypts application data for `TakeOutput`. @returns false on failure,
  /// which includes an unfinished handshake.
  [[nodiscard]] bool Encrypt(std::string_view plaintext);
  /// Removes and returns the bytes to send to the peer.
  [[nodiscard]] std::string TakeOutput();
  /// Whether the peer has closed the TLS session in order (`close_notify`).
  [[nodiscard]] bool Ended() const noexcept;

 private:
  struct FreeSession {
    void operator()(ssl_st* session) const;
  };
  std::unique_ptr<ssl_st, FreeSession> session;
  bool ended = false;
};

}  // namespace limpethaven
