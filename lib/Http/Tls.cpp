// Creation of TLS contexts with OpenSSL.

#include "bramleylock/Http/Tls.h"

namespace bramleylock::http {

using asio::ssl::context;

static constexpr context::options kTlsOptions =
  context::default_workarounds | context::no_sslv2 | context::no_sslv3 |
  context::no_tlsv1 | context::no_tlsv1_1;

auto MakeServerTls(const std::string& aCertificateFile,
                   const std::string& aKeyFile, std::error_code& aError,
                   std::string& aDetail) -> TlsContext
{
  auto tls = std::make_shared<context>(context::tls_server);
  tls->set_options(kTlsOptions);
  boost::system::error_code failure;
  // Without a callback, OpenSSL prompts on the terminal for the password of an
  // encrypted key.
  tls->set_password_callback(
    [](std::size_t, context::password_purpose) { return std::string(); },
    failure);
  aError.clear();
  tls->use_certificate_chain_file(aCertificateFile, failure);
  if (failure) {
    aError = failure;
    aDetail = aCertificateFile + ": expected a certificate chain in PEM";
    return nullptr;
  }
  tls->use_private_key_file(aKeyFile, context::pem, failure);
  if (failure) {
    aError = failure;
    aDetail = aKeyFile + ": expected the key of " + aCertificateFile +
              " in PEM, without a password";
    return nullptr;
  }
  return tls;
}

auto MakeClientTls(const std::string& aCaFile, std::error_code& aError)
  -> TlsContext
{
  auto tls = std::make_shared<context>(context::tls_client);
  tls->set_options(kTlsOptions);
  tls->set_verify_mode(asio::ssl::verify_peer);
  boost::system::error_code failure;
  tls->load_verify_file(aCaFile, failure);
  aError = failure;
  return failure ? nullptr : tls;
}

} // namespace bramleylock::http
