// Headers that are slow to parse and that most sources need.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
