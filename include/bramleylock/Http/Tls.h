// TLS for HTTP: contexts made from files.
#pragma once

#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/ssl/context.hpp>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::http {

/// Null stands for plain HTTP.
using TlsContext = std::shared_ptr<asio::ssl::context>;

/// For a server with a certificate chain and its key, both in PEM. On a fault,
/// aDetail names the file.
auto MakeServerTls(const std::string& aCertificateFile,
                   const std::string& aKeyFile, std::error_code& aError,
                   std::string& aDetail) -> TlsContext;

/// For a client that trusts only the certificates in aCaFile, in PEM.
auto MakeClientTls(const std::string& aCaFile, std::error_code& aError)
  -> TlsContext;

} // namespace bramleylock::http
