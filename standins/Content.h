// Deterministic answer bodies of the target stand-in. A checker generates the
// same bytes from the request id and compares them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bramleylock::standin {

/// Parses the body of a stand-in request: space-separated "key=value" pairs.
/// Keys are "id" (identifies the request), "ms" (processing time in
/// milliseconds) and "bytes" (size of the answer).
auto ParseWorkParameters(const std::string& aBody)
  -> std::map<std::string, std::string>;

/// Returns bytes [aOffset, aSize) of the answer to request aId, whose full size
/// is aSize.
auto MakeContent(const std::string& aId, std::uint64_t aOffset,
                 std::uint64_t aSize) -> std::string;

} // namespace bramleylock::standin
