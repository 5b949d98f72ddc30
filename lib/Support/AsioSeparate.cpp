// Compiles the sources of Boost.Asio and Boost.Beast once for all others.

#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
