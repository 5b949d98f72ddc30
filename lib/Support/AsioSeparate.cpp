// Compiles the parts of Asio and Beast that are kept out of other sources.

#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
