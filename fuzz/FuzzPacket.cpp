// Fuzzes the decoder of caller datagrams: a packet that it accepts must not
// change when it is encoded and decoded again.

#include "bramleylock/Wire/Packet.h"

#include <cstdlib>

using namespace bramleylock::wire;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  std::error_code error;
  const auto* data = reinterpret_cast<const char*>(aData);
  const auto packet = Decode(data, aSize, error);
  if (error) {
    return 0;
  }
  const auto encoded = Encode(packet);
  if (encoded.size() > kMaxPacketBytes) {
    // The input can be a shorter encoding of the same packet than Encode's, so
    // that ours exceeds the limit.
    return 0;
  }
  const auto decodedAgain = Decode(encoded.data(), encoded.size(), error);
  if (error || decodedAgain.flow != packet.flow ||
      decodedAgain.token != packet.token ||
      decodedAgain.missing != packet.missing ||
      decodedAgain.payload != packet.payload) {
    std::abort();
  }
  return 0;
}
