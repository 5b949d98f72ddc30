// TLS contexts for HTTP, created from PEM files.
#pragma once

#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/ssl/context.hpp>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::http {

/// Null means plain HTTP.
using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Creates the context of a server from a certificate chain and its private
/// key, both in PEM. On an error, aDetail names the file and what it should
/// contain.
auto MakeServerTls(const std::string& aCertificateFile,
                   const std::string& aKeyFile, std::error_code& aError,
                   std::string& aDetail) -> TlsContext;

/// Creates the context of a client that trusts only the certificates in
/// aCaFile, in PEM.
auto MakeClientTls(const std::string& aCaFile, std::error_code& aError)
  -> TlsContext;

} // namespace bramleylock::http
