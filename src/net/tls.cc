#include "net/tls.h"

#include <openssl/ssl.h>

#include <array>

namespace limpethaven {
namespace {

constexpr std::size_t kMaxReadBytes = 16'384;

}  // namespace

void TlsFiles::FreeContext::operator()(ssl_ctx_st* context) const {
  SSL_CTX_free(context);
}

TlsFiles::TlsFiles(std::string certificate, std::string key)
    : certificate_file(std::move(certificate)), key_file(std::move(key)) {
  this->Reload();
}

TlsFiles::~TlsFiles() = default;

bool TlsFiles::Usable() { return this->Current() != nullptr; }

ssl_ctx_st* TlsFiles::Current() {
  // A missing file does not count as a changed certificate.
  std::error_code missing;
  const auto modified_at =
      std::filesystem::last_write_time(this->certificate_file, missing);
  if (!missing && modified_at != this->certificate_time) this->Reload();
  return this->context.get();
}

void TlsFiles::Reload() {
  std::error_code missing;
  const auto modified_at =
      std::filesystem::last_write_time(this->certificate_file, missing);
  if (!missing) this->certificate_time = modified_at;
  std::unique_ptr<ssl_ctx_st, FreeContext> candidate(
      SSL_CTX_new(TLS_server_method()));
  const bool valid =
      SSL_CTX_use_certificate_chain_file(candidate.get(),
                                         this->certificate_file.c_str()) == 1 &&
      SSL_CTX_use_PrivateKey_file(candidate.get(), this->key_file.c_str(),
                                  SSL_FILETYPE_PEM) == 1 &&
      SSL_CTX_check_private_key(candidate.get()) == 1;
  if (!valid) return;
  SSL_CTX_set_min_proto_version(candidate.get(), TLS1_2_VERSION);
  this->context = std::move(candidate);
}

void TlsCodec::FreeSession::operator()(ssl_st* session) const {
  SSL_free(session);
}

TlsCodec::TlsCodec(ssl_ctx_st* context) : session(SSL_new(context)) {
  SSL_set_bio(this->session.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
  SSL_set_accept_state(this->session.get());
}

TlsCodec::~TlsCodec() = default;

bool TlsCodec::Receive(std::string_view ciphertext, std::string& plaintext) {
  BIO_write(SSL_get_rbio(this->session.get()), ciphertext.data(),
            static_cast<int>(ciphertext.size()));
  for (;;) {
    std::array<char, kMaxReadBytes> buffer;
    const int count = SSL_read(this->session.get(), buffer.data(),
                               static_cast<int>(buffer.size()));
    if (count > 0) {
      plaintext.append(buffer.data(), static_cast<std::size_t>(count));
      continue;
    }
    const int ssl_error = SSL_get_error(this->session.get(), count);
    this->ended = this->ended || ssl_error == SSL_ERROR_ZERO_RETURN;
    return ssl_error == SSL_ERROR_WANT_READ ||
           ssl_error == SSL_ERROR_WANT_WRITE ||
           ssl_error == SSL_ERROR_ZERO_RETURN;
  }
}

bool TlsCodec::Encrypt(std::string_view plaintext) {
  if (plaintext.empty()) return true;
  return SSL_write(this->session.get(), plaintext.data(),
                   static_cast<int>(plaintext.size())) ==
         static_cast<int>(plaintext.size());
}

std::string TlsCodec::TakeOutput() {
  std::string out;
  BIO* const output = SSL_get_wbio(this->session.get());
  const int bytes = static_cast<int>(BIO_ctrl_pending(output));
  out.resize(static_cast<std::size_t>(bytes));
  if (bytes > 0) BIO_read(output, out.data(), bytes);
  return out;
}

bool TlsCodec::Ended() const noexcept { return this->ended; }

}  // namespace limpethaven
