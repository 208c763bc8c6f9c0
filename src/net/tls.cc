#include "net/tls.h"

#include <openssl/ssl.h>

#include <array>

namespace limpethaven {
namespace {

constexpr std::size_t kReadBytes = 16'384;

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
  std::error_code missing;  // A file that is away is no new certificate.
  const auto changed =
      std::filesystem::last_write_time(this->certificate_file, missing);
  if (!missing && changed != this->loaded_at) this->Reload();
  return this->loaded.get();
}

void TlsFiles::Reload() {
  std::error_code missing;
  const auto changed =
      std::filesystem::last_write_time(this->certificate_file, missing);
  if (!missing) this->loaded_at = changed;
  std::unique_ptr<ssl_ctx_st, FreeContext> next(
      SSL_CTX_new(TLS_server_method()));
  const bool usable =
      SSL_CTX_use_certificate_chain_file(next.get(),
                                         this->certificate_file.c_str()) == 1 &&
      SSL_CTX_use_PrivateKey_file(next.get(), this->key_file.c_str(),
                                  SSL_FILETYPE_PEM) == 1 &&
      SSL_CTX_check_private_key(next.get()) == 1;
  if (!usable) return;
  SSL_CTX_set_min_proto_version(next.get(), TLS1_2_VERSION);
  this->loaded = std::move(next);
}

void TlsCodec::FreeStream::operator()(ssl_st* stream) const {
  SSL_free(stream);
}

TlsCodec::TlsCodec(ssl_ctx_st* context) : stream(SSL_new(context)) {
  SSL_set_bio(this->stream.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
  SSL_set_accept_state(this->stream.get());
}

TlsCodec::~TlsCodec() = default;

bool TlsCodec::Receive(std::string_view wire, std::string& plain) {
  BIO_write(SSL_get_rbio(this->stream.get()), wire.data(),
            static_cast<int>(wire.size()));
  for (;;) {
    std::array<char, kReadBytes> buffer;
    const int count = SSL_read(this->stream.get(), buffer.data(),
                               static_cast<int>(buffer.size()));
    if (count > 0) {
      plain.append(buffer.data(), static_cast<std::size_t>(count));
      continue;
    }
    const int why = SSL_get_error(this->stream.get(), count);
    this->ended = this->ended || why == SSL_ERROR_ZERO_RETURN;
    return why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE ||
           why == SSL_ERROR_ZERO_RETURN;
  }
}

bool TlsCodec::Encrypt(std::string_view plain) {
  if (plain.empty()) return true;
  return SSL_write(this->stream.get(), plain.data(),
                   static_cast<int>(plain.size())) ==
         static_cast<int>(plain.size());
}

std::string TlsCodec::TakeOutput() {
  std::string out;
  BIO* const pending = SSL_get_wbio(this->stream.get());
  const int bytes = static_cast<int>(BIO_ctrl_pending(pending));
  out.resize(static_cast<std::size_t>(bytes));
  if (bytes > 0) BIO_read(pending, out.data(), bytes);
  return out;
}

bool TlsCodec::Ended() const noexcept { return this->ended; }

}  // namespace limpethaven
