// The answers of the target stand-in, which a checker can make again.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bramleylock::standin {

/// The parts of a stand-in request: space-separated "key=value" words.
/// id: names the request; ms: how long it works; bytes: size of the answer.
auto ParseWork(const std::string& aBody) -> std::map<std::string, std::string>;

/// Bytes [aOffset, aSize) of the answer to request aId.
auto MakeContent(const std::string& aId, std::uint64_t aOffset,
                 std::uint64_t aSize) -> std::string;

} // namespace bramleylock::standin
