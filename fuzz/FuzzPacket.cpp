// Fuzzes the decoder of caller datagrams: what it accepts must survive a round
// trip.

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
    // Another spelling of the same packet can be shorter than ours.
    return 0;
  }
  const auto again = Decode(encoded.data(), encoded.size(), error);
  if (error || again.flow != packet.flow || again.token != packet.token ||
      again.missing != packet.missing || again.payload != packet.payload) {
    std::abort();
  }
  return 0;
}
